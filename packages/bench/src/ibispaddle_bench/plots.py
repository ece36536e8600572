"""Plots of the results of the experiment."""

import pathlib
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt


def write_plots(rows: list[dict[str, Any]], folder: pathlib.Path) -> None:
    """Plot the time to first token by prompt length and the slowdown of short prompts as PNG files."""
    seed = min((row["seed"] for row in rows), default=0)
    for name in sorted({row["scenario"] for row in rows if row["scenario"].startswith("load-")}):
        figure, axes = plt.subplots(figsize=(8, 5))
        for row in rows:
            if row["scenario"] == name and row["seed"] == seed:
                points = [(b[0], b[3] / 1000) for b in row["by_length"] if b[1]]
                axes.plot(*zip(*points, strict=True), marker="o", label=row["policy"])
        axes.set(xscale="log", yscale="log", xlabel="prompt length, tokens (lower bound)")
        axes.set(ylabel="time to first token, 95th percentile, s", title=name)
        axes.legend()
        figure.savefig(folder / f"ttft-{name}.png", dpi=100)
        plt.close(figure)
    slowed = [row for row in rows if "slowdown_p99" in row]
    if slowed:
        figure, axes = plt.subplots(figsize=(8, 5))
        policies = sorted({row["policy"] for row in slowed})
        for place, policy in enumerate(policies):
            values = [row["slowdown_p99"] for row in slowed if row["policy"] == policy]
            axes.scatter([place] * len(values), values)
        axes.axhline(1.1, linestyle="--")
        axes.set_xticks(range(len(policies)), policies)
        axes.set(yscale="log", ylabel="99th percentile TTFT under 8 k, mixed / alone")
        figure.savefig(folder / "short-slowdown.png", dpi=100)
        plt.close(figure)
