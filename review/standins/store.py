"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import binascii
import collections
import json
import random
import time
import urllib.parse

from standins.http import Dropped, Server

ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_BODY_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
TX_S = 0.005
READ_S = 0.004
WRITES_PER_S = 800
READS_PER_S = 2000
MAX_QUEUE_S = 1.0
LATE_S = (1.0, 6.0)
# The tables that the system may not write.
OTHERS = ('op', 'servers')


class Rate:
    """Counts calls of the last second."""

    def __init__(self, limit):
        self._limit = limit
        self._times = collections.deque()

    def take(self):
        """Return whether one more call is taken."""
        now = time.monotonic()
        while self._times and self._times[0] < now - 1:
            self._times.popleft()
        if len(self._times) >= self._limit:
            return False
        self._times.append(now)
        return True


class Store:
    """Rows with versions; `late` decides which transactions come late.

    `late(body)` is asked for each transaction. If it is true, the transaction
    is not answered, and is executed 1 to 6 s later if its conditions hold then.
    """

    def __init__(self, record, seed):
        self._record = record
        self._source = random.Random(seed)
        self._rows = {}
        self._changes = []
        self._version = 0
        self._busy_until = collections.defaultdict(float)
        self._writes = Rate(WRITES_PER_S)
        self._reads = Rate(READS_PER_S)
        self._changed = asyncio.Event()
        self._began = time.monotonic()
        self.late = None
        self.refusals = collections.Counter()
        self.largest_row = 0
        # When the last late transaction was received or executed.
        self.disturbed = self._began
        self.server = Server(self._handle)

    def write(self, table, key, value):
        """Write a row as the platform or the operator does; None removes."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self._version += 1
        self._put((table, '', key), text)
        self._notify()

    def read(self, table, part, key):
        """Return the value of a row, decoded from JSON, or None."""
        row = self._rows.get((table, part, key))
        return row and json.loads(base64.b64decode(row['Value']))

    def _put(self, name, text):
        row = dict(zip(('table', 'part', 'Key'), name), ver=self._version)
        if text is None:
            self._rows.pop(name, None)
            self._changes.append({**row, 'gone': True})
        else:
            self._rows[name] = {**row, 'Value': text}
            self._changes.append(self._rows[name])

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _tell(self, **fields):
        now_ms = int((time.monotonic() - self._began) * 1000) + 50_000
        return {**fields, 'ver': self._version, 'now_ms': now_ms}

    async def _handle(self, method, target, headers, body):
        parsed = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        calls = {
            ('POST', '/v1/rows-tx'): self._transact,
            ('GET', '/v1/rows-get'): self._get,
            ('GET', '/v1/rows-feed'): self._feed,
            ('GET', '/v1/rows-parts'): self._parts,
        }
        call = calls.get((method, parsed.path))
        if call is None:
            return 404, None
        rate = self._writes if method == 'POST' else self._reads
        if not rate.take():
            self.refusals['rate'] += 1
            return 429, None
        return await call(query, body)

    # -- transactions ------------------------------------------------------

    async def _transact(self, query, body):
        fault, entries = self._check(body)
        if fault:
            self.refusals[fault] += 1
            if self.refusals[fault] == 1:
                self._record(f'store refuses a transaction with 400: {fault}')
            return 400, {'Error': fault}
        if any(one['table'] in OTHERS for one in entries):
            return 403, None
        part = entries[0]['part']
        now = time.monotonic()
        start = max(now, self._busy_until[part])
        if start - now > MAX_QUEUE_S:
            self.refusals['queue'] += 1
            return 429, None
        self._busy_until[part] = start + TX_S
        if self.late is not None and self.late(json.loads(body)):
            self.disturbed = now
            delay = self._source.uniform(*LATE_S)
            asyncio.get_running_loop().call_later(
                delay, self._apply_late, json.loads(body)
            )
            raise Dropped
        await asyncio.sleep(start + TX_S - now)
        return self._apply(json.loads(body))

    def _check(self, body):
        """Return why a transaction is invalid, and its entries."""
        if len(body) > MAX_BODY_BYTES:
            return 'more than 1 MB', ()
        data = json.loads(body)
        put = data.get('put', ())
        entries = [
            *data.get('ExpectedRevision', ()),
            *put,
            *data.get('Remove', ()),
        ]
        if not 0 < len(entries) <= MAX_ENTRIES:
            return f'more than {MAX_ENTRIES} entries', ()
        if len({one['part'] for one in entries}) > 1:
            return 'several parts', ()
        if any(len(one['Key'].encode()) > 200 for one in entries):
            return 'a key of more than 200 bytes', ()
        for one in put:
            try:
                size = len(base64.b64decode(one['Value'], validate=True))
            except binascii.Error:
                return 'a value that is not base64', ()
            self.largest_row = max(self.largest_row, size)
            if size > ROW_BYTES:
                return f'a value of more than {ROW_BYTES} bytes', ()
        return '', entries

    def _apply(self, data):
        expected = data.get('ExpectedRevision', ())
        found = []
        is_met = True
        for one in expected:
            row = self._rows.get((one['table'], one['part'], one['Key']))
            if row is not None:
                found.append(row)
            is_met &= one['ver'] == (row['ver'] if row else 0)
        if not is_met:
            return 412, self._tell(rows=found)
        self._version += 1
        for one in data.get('put', ()):
            name = one['table'], one['part'], one['Key']
            self._put(name, one['Value'])
        for one in data.get('Remove', ()):
            self._put((one['table'], one['part'], one['Key']), None)
        self._notify()
        return 200, self._tell()

    def _apply_late(self, data):
        self.disturbed = time.monotonic()
        status, _ = self._apply(data)
        keys = [(one['table'], one['Key']) for one in data.get('put', ())]
        self._record(f'store executes a late transaction: {status} {keys}')

    # -- reads -------------------------------------------------------------

    async def _get(self, query, body):
        await asyncio.sleep(READ_S)
        first = query.get('From', '').encode()
        end = query.get('TargetVersion', '').encode()
        limit = min(int(query.get('limit', MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows = sorted(
            (
                row
                for (table, part, key), row in self._rows.items()
                if table == query['table']
                and part == query.get('part', '')
                and key.encode() >= first
                and (not end or key.encode() < end)
            ),
            key=lambda row: row['Key'].encode(),
        )
        size = count = 0
        for row in rows[:limit]:
            size += len(row['Value']) + 300
            if size > MAX_BODY_BYTES and count:
                break
            count += 1
        return 200, self._tell(rows=rows[:count], more=count < len(rows))

    async def _parts(self, query, body):
        await asyncio.sleep(READ_S)
        parts = {
            part for table, part, _ in self._rows if table == query['table']
        }
        after = query.get('AfterRevision', '')
        return 200, self._tell(
            parts=sorted(one for one in parts if one > after)[:1000]
        )

    async def _feed(self, query, body):
        await asyncio.sleep(READ_S)
        after = int(query['AfterRevision'])
        ends = (
            time.monotonic() + min(int(query.get('WaitMs', 0)), 30_000) / 1000
        )
        while True:
            rows = self._find_changes(query['table'], after)
            left = ends - time.monotonic()
            if rows or left <= 0:
                return 200, self._tell(rows=rows)
            event = self._changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except TimeoutError:
                pass

    def _find_changes(self, table, after):
        found = []
        for row in reversed(self._changes):
            if row['ver'] <= after:
                break
            if row['table'] == table:
                found.append(row)
        return found[::-1]
