"""Fencing tokens of a leader's orders to an upstream."""

from __future__ import annotations

from attrs import define

# Bits of a token below the epoch. They number the tokens for one upstream during one leadership,
# which may need several a second for years.
SEQUENCE_BITS = 32


@define
class FencingTokens:
    """Issues the rising fencing tokens of one leader's orders to one upstream.

    An upstream refuses orders with a lower token than the highest that it has seen. A token for
    each incarnation thus keeps out orders that were sent to an earlier one and are still under way.

    :param epoch: epoch of the leader; each token is higher than all those of earlier leaders.
    """

    epoch: int
    issued_count: int = 0

    def issue(self) -> int:
        """Return a token that is higher than all before."""
        self.issued_count += 1
        return (self.epoch << SEQUENCE_BITS) + self.issued_count


def epoch_of(token: int) -> int:
    """Return the epoch of the leader that has issued a token."""
    return token >> SEQUENCE_BITS
