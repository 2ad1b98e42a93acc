"""Errors that end an experiment; the command prints each in one line."""


class ScaleTestError(Exception):
    """The experiment can't be started, or can't continue."""


class PlanError(ScaleTestError):
    """The plan is rejected: its arguments contradict each other, or exceed the machine."""


class ExperimentError(ScaleTestError):
    """The experiment can't continue: a process has ended, memory or time has run out."""
