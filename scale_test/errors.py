"""Errors that end an experiment; the command prints each in one line."""


class ScaleTestError(Exception):
    """The experiment can't be done, or can't go on."""


class PlanError(ScaleTestError):
    """The plan is refused: its arguments don't fit each other, or the machine."""


class ExperimentError(ScaleTestError):
    """The experiment can't go on: a process has ended, memory or time has run out."""
