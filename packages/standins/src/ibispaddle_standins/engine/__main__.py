"""Entry point of `python -m ibispaddle_standins.engine`."""

from ..server import main
from .app import Engine

if __name__ == "__main__":
    main(Engine)
