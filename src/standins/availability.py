"""Check of disruption budgets against what the simulated workers have seen."""

from __future__ import annotations

from attrs import Factory, define

# A task that has not been at work for this long counts as away, whatever the cause: `notice-ms`.
NOTICE_S = 4.5


@define
class TaskAvailability:
    """What the workers have seen of one long-running task.

    :param at_work_s: latest time at which a run of it was at work.
    :param ended_by_order: an order has ended its latest run that was at work.
    """

    at_work_s: float = float("-inf")
    ended_by_order: bool = False


@define
class AvailabilityCheck:
    """Checks that no order ends a task at work while too many others of its step are away.

    A task at work whose run ends for another cause counts as away only after ``NOTICE_S``.

    :param violations: descriptions of orders beyond a budget.
    :param order_count: orders that have ended a task at work.
    """

    tasks: dict[str, TaskAvailability] = Factory(dict)
    violations: list[str] = Factory(list)
    order_count: int = 0

    def note_at_work(self, task_name: str, now_s: float) -> None:
        """Note that a run of a task is at work."""
        task = self.tasks.setdefault(task_name, TaskAvailability())
        task.at_work_s, task.ended_by_order = now_s, False

    def note_order(
        self, task_name: str, others: list[str], max_away_count: int, now_s: float, what: str
    ) -> None:
        """Note an order in time that ends a task at work, and check it.

        :param others: the other tasks of the step.
        :param what: description of the order.
        """
        self.order_count += 1
        away = [name for name in others if self._is_away(name, now_s)]
        if len(away) >= max_away_count:
            names = ", ".join(away)
            self.violations.append(f"{what} ends {task_name} at {now_s:.3f} s, away: {names}")
        self.note_end_by_order(task_name)

    def note_end_by_order(self, task_name: str) -> None:
        """Note that an order has ended a task, also one that was carried out late."""
        self.tasks.setdefault(task_name, TaskAvailability()).ended_by_order = True

    def _is_away(self, task_name: str, now_s: float) -> bool:
        task = self.tasks.get(task_name)
        if task is None:
            # It has never been at work, and when its step began is not known here.
            return False
        return task.ended_by_order or now_s - task.at_work_s > NOTICE_S
