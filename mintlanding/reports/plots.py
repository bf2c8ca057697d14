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
        """Return one polyline for each stretch without gaps.

        `history` has the latest value first; `top` is drawn at the upper
        edge.
        """
        lines: list[str] = []
        points: list[str] = []
        for place, rate in enumerate(reversed(history)):
            if rate is None:
                _end_line(lines, points)
                continue
            along = self._along(place, len(history))
            points.append(f'{along:.1f},{self.level(rate, top):.1f}')
        _end_line(lines, points)
        return lines

    def level(self, rate: float, top: float) -> float:
        """Return the vertical place of a rate."""
        return self.height * (1 - min(rate, top) / top)

    def _along(self, place: int, count: int) -> float:
        return self.width * (place + 1) / count


def _end_line(lines: list[str], points: list[str]) -> None:
    if len(points) == 1:
        # A single point has no length; a line to itself shows as a dot.
        points.append(points[0])
    if points:
        lines.append(' '.join(points))
        points.clear()
