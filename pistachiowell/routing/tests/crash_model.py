"""Model of routers before servers that run requests together and crash."""

import heapq
import itertools
from dataclasses import dataclass

from pistachiowell.core.rng import Random
from pistachiowell.routing import (
    Candidate,
    Crash,
    FingerprintStatus,
    PartInProgress,
    place_crash_candidate,
)

ROUTERS = 3
LENGTH_S = 30.0
DOWN_S = 2.0
REPORT_DELAY_S = 0.1
KNOWN_EVERYWHERE_S = 3.0
# A server is not taken for crashed by what it began to answer earlier.
MAX_BEGIN_S = 1.0
# Share of answers whose begin is lost with the connection.
HEAD_LOST_SHARE = 0.05
MAX_CRASHES_OF_A_PART_TO_RETRY = 2


@dataclass(frozen=True, slots=True)
class Sent:
    """A request as it is sent to a server.

    Attributes:
        name: Its fingerprint; one that begins with ``bad`` crashes its server.
        router: Number of the router.
        work_s: Seconds from its begin to its end or to the crash.
        retries: Number of further attempts.
        parts: Parts of its prompt; one that begins with ``part-bad`` crashes the
            server.
        wait_s: Seconds that it waits at the server before its begin.
    """

    name: str
    router: int
    work_s: float
    retries: int
    parts: tuple = ()
    wait_s: float = 0.0

    @property
    def crashes(self):
        """Whether it crashes its server."""
        is_bad = self.name.startswith("bad")
        return is_bad or any(part.startswith("part-bad") for part in self.parts)


class Fleet:
    """Routers with a ledger each before servers that run requests together.

    Args:
        seed: Seed of the placement and of the delays.
        servers: Number of servers.
        ledger: Function that returns a ledger.
    """

    def __init__(self, seed, servers, ledger):
        self._rng = Random(seed)
        self._ledgers = [ledger() for _ in range(ROUTERS)]
        self._servers = [Candidate(f"s{number}") for number in range(servers)]
        self._up_at = dict.fromkeys([c.server for c in self._servers], 0.0)
        self._running = {c.server: {} for c in self._servers}
        self._queue, self._order = [], itertools.count()
        self.crashes = {}
        self.sends = {}
        self.refused = {}
        self.refused_parts = set()
        self.ended = {}

    def at(self, time_s, action, *args):
        """Schedules an action."""
        heapq.heappush(self._queue, (time_s, next(self._order), action, args))

    def run(self):
        """Runs all actions in the order of their times."""
        while self._queue and self._queue[0][0] < LENGTH_S:
            now, _, action, args = heapq.heappop(self._queue)
            for ledger in self._ledgers:
                ledger.judge(now)
            action(now, *args)

    def send(self, now, sent):
        """Sends a ``Sent``; a bad one crashes its server after ``work_s``."""
        ledger = self._ledgers[sent.router]
        statuses = [ledger.status(name, now) for name in (sent.name, *sent.parts)]
        for part, status in zip(sent.parts, statuses[1:], strict=True):
            if status is FingerprintStatus.quarantined:
                self.refused_parts.add(part)
        for status in (FingerprintStatus.quarantined, FingerprintStatus.held):
            if status in statuses:
                self.refused.setdefault(sent.name, []).append((now, status))
                return
        up = [c for c in self._servers if self._up_at[c.server] <= now]
        if not up:
            return
        chosen = self._rng.choice(up)
        if statuses[0] is FingerprintStatus.crash_candidate:
            crashed = ledger.crashed_servers(sent.name)
            chosen = place_crash_candidate(up, sent.name, crashed)
        key = next(self._order)
        self._running[chosen.server][key] = (sent, now + sent.wait_s)
        for name in (sent.name, *sent.parts):
            self.sends.setdefault(name, []).append(now)
        end_at = now + sent.wait_s + sent.work_s
        self.at(end_at, self._end, chosen.server, key)

    def crash(self, now, server):
        """Lets a server crash for a cause that is none of its requests."""
        if self._up_at[server] <= now:
            self._crash(now, server)

    def _end(self, now, server, key):
        entry = self._running[server].get(key)
        if entry is None:
            return
        sent, _ = entry
        if sent.crashes:
            for name in (sent.name, *sent.parts):
                self.crashes.setdefault(name, []).append(now)
            self._crash(now, server)
            return
        del self._running[server][key]
        self.ended.setdefault(sent.name, []).append(now)
        for name in (sent.name, *sent.parts):
            self._ledgers[sent.router].clear(name, now)
            for ledger in self._ledgers:
                self.at(
                    now + REPORT_DELAY_S,
                    lambda at, i=ledger, n=name: i.clear(n, at),
                )

    def _crash(self, now, server):
        cut = list(self._running[server].values())
        self._running[server] = {}
        self._up_at[server] = now + DOWN_S
        self._report(now, server, cut)

    def _report(self, now, server, cut):
        for sender in range(ROUTERS):
            mine = [entry for entry in cut if entry[0].router == sender]
            names = tuple(sorted({sent.name for sent, _ in mine}))
            crash_id = f"crash-{next(self._order)}"
            for receiver, ledger in enumerate(self._ledgers):
                delay_s = self._rng.uniform(0, REPORT_DELAY_S)
                delay_s = 0.0 if receiver == sender else delay_s
                crash = Crash(
                    crash_id, server, names, delay_s, _parts(mine, now, self._rng)
                )
                if names:
                    self.at(
                        now + delay_s,
                        lambda at, i=ledger, c=crash: i.record_crash(c, at),
                    )
        for sent, _ in cut:
            if sent.retries:
                self.at(now + 0.01, self._send_again, sent)

    def _send_again(self, now, sent):
        ledger = self._ledgers[sent.router]
        counts = [ledger.crash_count(part, now) for part in sent.parts]
        if max(counts, default=0) <= MAX_CRASHES_OF_A_PART_TO_RETRY:
            again = Sent(
                sent.name, sent.router, sent.work_s, sent.retries - 1, sent.parts
            )
            self.send(now, again)

    def late_sends(self, name, crashes=3):
        """Returns the number of sends of a suspect once it must be known everywhere.

        Args:
            name: Name of a request or part.
            crashes: Crashes after which it must be known.
        """
        times = self.crashes.get(name, [])
        if len(times) < crashes:
            return 0
        known_at = times[crashes - 1] + KNOWN_EVERYWHERE_S
        return sum(at > known_at for at in self.sends[name])

    def quarantined(self):
        """Returns the names that were refused as quarantined."""
        return {
            name
            for name, refusals in self.refused.items()
            if any(s is FingerprintStatus.quarantined for _, s in refusals)
        }


def _parts(entries, now, rng):
    begun, waiting = {}, {}
    for sent, begins_at in entries:
        if now - begins_at > MAX_BEGIN_S:
            continue
        is_seen = begins_at <= now and rng.random() > HEAD_LOST_SHARE
        for part in sent.parts:
            (begun if is_seen else waiting).setdefault(part, set()).add(sent.name)
    return tuple(
        PartInProgress(
            name,
            tuple(sorted(begun.get(name, ()))),
            tuple(sorted(waiting.get(name, ()))),
        )
        for name in sorted(begun.keys() | waiting.keys())
    )
