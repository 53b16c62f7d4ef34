"""Fit a straight line to measurements at several sizes."""

from dataclasses import dataclass
from statistics import fmean


@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """A fitted line ``base + slope * size`` and the measurements behind it.

    ``residual`` is the largest deviation of a measurement from the line, as a
    fraction of the largest absolute measurement.
    """

    name: str
    unit: str
    per: str
    slope: float
    base: float
    residual: float
    sizes: tuple[float, ...]
    values: tuple[float, ...]


def fit_slope(name, *, unit, per, sizes, values):
    """Fit a line by least squares.

    Parameters
    ----------
    name : str
        What was measured.
    unit : str
        Unit of the values.
    per : str
        What a size counts, such as nodes.
    sizes, values : sequence of float, shape (n_sizes,)
        The measurements, at two or more different sizes.

    Returns
    -------
    Slope
        The line.

    Raises
    ------
    ValueError
        If there are fewer than two different sizes.
    """
    if len(set(sizes)) < 2:
        raise ValueError(f"{name}: two different sizes are needed, got {sizes!r}")
    mean_size, mean_value = fmean(sizes), fmean(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        / spread
    )
    base = mean_value - slope * mean_size
    deviation = max(
        abs(value - base - slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    largest = max(abs(value) for value in values)
    return Slope(
        name=name,
        unit=unit,
        per=per,
        slope=slope,
        base=base,
        residual=deviation / largest if largest else 0.0,
        sizes=tuple(sizes),
        values=tuple(values),
    )


def fitted_value(slope, size):
    """Return the value of the line at a size."""
    return slope.base + slope.slope * size
