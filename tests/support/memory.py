"""Memory of processes."""


def resident_kb(pid: int) -> int:
    """Return the resident set size of a process."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1])
