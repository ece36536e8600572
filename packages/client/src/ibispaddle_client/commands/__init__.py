"""Commands of `ibispaddle`, one module per command."""
