"""Start a scheduler instance from the checkout, without installing it."""

import pathlib
import signal
import sys

# The imports below take a while, and a reload would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

SOURCES = pathlib.Path(__file__).resolve().parents[1] / 'src'
sys.path.insert(0, str(SOURCES))

from tulippin.scheduler_daemon import main  # noqa: E402

sys.exit(main())
