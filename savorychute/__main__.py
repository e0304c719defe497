"""``python -m savorychute``."""

from __future__ import annotations

import sys

from savorychute.cmd.main import main

if __name__ == '__main__':
    sys.exit(main())
