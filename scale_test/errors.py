"""Errors that end an experiment; the command prints them as one line."""


class ScaleTestError(Exception):
    """The experiment can't be started, or can't continue."""


class PlanError(ScaleTestError):
    """The plan is rejected: its arguments contradict each other, or need more than an experiment may use."""


class ExperimentError(ScaleTestError):
    """The experiment can't continue: a process has exited, or a limit on memory or time is exceeded."""
