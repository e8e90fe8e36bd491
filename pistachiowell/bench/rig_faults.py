"""Faults of the processes, links and stand-ins of a rig."""

from pistachiowell.bench.client import call

RELAY = "relay"


class RigFaults:
    """The part of ``Rig`` that makes faults and ends them."""

    def kill(self, name):
        """Ends a process at once."""
        self.processes[name].kill()

    def pause(self, name):
        """Pauses a process."""
        self.processes[name].pause()

    def resume(self, name):
        """Lets a paused process go on."""
        self.processes[name].resume()

    def restart(self, name):
        """Kills a process, if it still runs, and starts it again."""
        self.processes[name].kill()
        self.processes[name].start()

    def set_link(self, name, **state):
        """Sets the state of the link to a router or agent, in a rig with relays.

        Args:
            name: Name of the process, or ``<name>-store`` for its link to the
                store.
            **state: Fields of ``LinkState``; none of them heals the link.
        """
        reply = call(f"{self.url(RELAY)}/control/{name}", state)
        assert reply.status == 200, reply

    def partition(self, *sides):
        """Holds back all data between groups of data centres, and to the store.

        Args:
            *sides: Lists of data centres; only the first side reaches the store.
        """
        side_of = {centre: side for side in sides for centre in side}
        for name, centre in self._data_centres().items():
            others = [one for one in side_of if side_of[one] is not side_of[centre]]
            self.set_link(name, drop_up=True, drop_down=True, only_from=others)
            if side_of[centre] is not sides[0]:
                self.set_link(f"{name}-store", drop_up=True, drop_down=True)

    def clear_link_and_store_faults(self):
        """Ends all faults of links and of the store."""
        for link in self._programs.links:
            self.set_link(link)
        self.store_faults(
            down=False, slow_s=0.0, lose_answers=0, drop_writes=0, list_lag_s={}
        )

    def _data_centres(self):
        agents = {f"agent-{spec.name}": spec.data_centre for spec in self.plan.servers}
        return {**dict(self.plan.routers), **agents}

    def store_faults(self, **faults):
        """Sets faults of the store stand-in, such as ``down=True``."""
        reply = call(self.store_url + "/control", faults)
        assert reply.status == 200, reply

    def server_faults(self, server, **behaviour):
        """Sets the ``Behaviour`` of a server stand-in; none of them ends it."""
        reply = call(self.url(server) + "/control", behaviour)
        assert reply.status == 200, reply
