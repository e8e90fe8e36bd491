"""Fault injection into the processes, links and stand-ins of a rig."""

from pistachiowell.bench.client import call

RELAY = "relay"


class RigFaults:
    """Mixin of ``Rig`` that injects faults and clears them.

    Faults that can be injected:

    - A process is killed, paused or restarted.
    - A link to a process, or from it to the store, is cut or delayed, or its data is
      held back in one direction or both; data centres are partitioned. This needs a
      rig with relays. See ``LinkState``.
    - The store is down, slow or limited in its rates, drops writes, loses answers to
      writes that it performed, or serves outdated lists. See ``StoreFaults``.
    - A server stand-in fails or refuses requests, breaks connections, loses answers,
      crashes or slows down. See ``Behaviour``.
    """

    def kill(self, name):
        """Kills a process with SIGKILL."""
        self.processes[name].kill()

    def pause(self, name):
        """Pauses a process with SIGSTOP; its connections stay open."""
        self.processes[name].pause()

    def resume(self, name):
        """Resumes a paused process with SIGCONT."""
        self.processes[name].resume()

    def restart(self, name):
        """Kills a process if it still runs, and starts it again."""
        self.processes[name].kill()
        self.processes[name].start()

    def set_link(self, name, **state):
        """Sets the state of a link in a rig with relays.

        Args:
            name: Name of a router or agent for the links from its peers to it, or
                ``<name>-store`` for its link to the store.
            **state: Fields of ``LinkState``; the others take their defaults, so
                that a call without fields clears all faults of the link.
        """
        reply = call(f"{self.url(RELAY)}/control/{name}", state)
        assert reply.status == 200, reply

    def partition(self, *sides):
        """Partitions the network between groups of data centres.

        Connections stay open, and their data is held back until the partition ends,
        as TCP retransmits it after a partition of a real network.

        Args:
            *sides: Lists of data centres; only the first side reaches the store.
        """
        side_of = {data_centre: side for side in sides for data_centre in side}
        for name, data_centre in self._data_centres().items():
            others = [
                other for other in side_of if side_of[other] is not side_of[data_centre]
            ]
            self.set_link(name, drop_up=True, drop_down=True, only_from=others)
            if side_of[data_centre] is not sides[0]:
                self.set_link(f"{name}-store", drop_up=True, drop_down=True)

    def clear_link_and_store_faults(self):
        """Clears the faults of all links and of the store.

        Rate limits of the store, faults of servers and pauses stay.
        """
        for link in self._programs.links:
            self.set_link(link)
        self.store_faults(
            down=False, slow_s=0.0, lose_answers=0, drop_writes=0, list_lag_s={}
        )

    def _data_centres(self):
        agents = {f"agent-{spec.name}": spec.data_centre for spec in self.plan.servers}
        return {**dict(self.plan.routers), **agents}

    def store_faults(self, **faults):
        """Sets faults of the store stand-in, such as ``down=True``.

        Faults that are not named stay as they are.
        """
        reply = call(self.store_url + "/control", faults)
        assert reply.status == 200, reply

    def server_faults(self, server, **behaviour):
        """Sets the ``Behaviour`` of a server stand-in.

        Fields that are not named take their defaults, so that a call without
        fields clears all faults of the server.
        """
        reply = call(self.url(server) + "/control", behaviour)
        assert reply.status == 200, reply
