"""Quantiles of samples."""

import math


def quantile(samples, probability):
    """The smallest sample that is not exceeded by the given share of all."""
    ordered = sorted(samples)
    return ordered[max(1, math.ceil(probability * len(ordered))) - 1]
