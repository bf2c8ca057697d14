"""Line plots as points of SVG polylines."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Plot:
    """Size of a plot in pixels."""

    width: int = 240
    height: int = 40

    def lines(
        self,
        history: Sequence[float | None],
        top: float,
    ) -> list[str]:
        """Return one polyline for each period without gaps.

        `history` has the latest value first; `top` is the value at the upper
        edge.
        """
        lines: list[str] = []
        points: list[str] = []
        for index, rate in enumerate(reversed(history)):
            if rate is None:
                _end_line(lines, points)
                continue
            x = self._x(index, len(history))
            points.append(f'{x:.1f},{self.level(rate, top):.1f}')
        _end_line(lines, points)
        return lines

    def level(self, rate: float, top: float) -> float:
        """Return the vertical position of a rate."""
        return self.height * (1 - min(rate, top) / top)

    def _x(self, index: int, count: int) -> float:
        return self.width * (index + 1) / count


def _end_line(lines: list[str], points: list[str]) -> None:
    if len(points) == 1:
        # A polyline needs two points; two equal ones are drawn as a dot.
        points.append(points[0])
    if points:
        lines.append(' '.join(points))
        points.clear()
