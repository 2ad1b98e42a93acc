"""Errors that end an experiment; the command prints them as one line."""


class ScaleTestError(Exception):
    """The experiment can't be started, or can't continue."""


class PlanError(ScaleTestError):
    """The plan is rejected: its arguments contradict each other, or ask for more than the machine allows."""


class ExperimentError(ScaleTestError):
    """The experiment can't continue: a process has ended, or it ran out of memory or time."""
