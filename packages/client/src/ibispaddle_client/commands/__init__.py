"""Commands of `ibispaddle`, one module each."""
