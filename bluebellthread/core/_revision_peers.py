"""The VMs with which one VM exchanges configuration revisions."""

import attrs

from bluebellthread.core import _revision_builds
from bluebellthread.core import _revision_topology

PROBES_MAX = 16
"""Maximum number of VMs asked together whether their build knows the messages
about revisions: half of the calls that a VM keeps in flight."""


class RevisionPeers:
    """Chooses the VMs to ask, by the membership view and the peers' builds.

    Parameters
    ----------
    vm, data_centre : str
        Names of this VM and its data centre.
    leaves_out_older : bool
        See `RevisionOptions.leaves_out_older_builds`.

    Attributes
    ----------
    names : list of str
        VMs of the data centre that take part, this one too, sorted.
    """

    def __init__(self, *, vm, data_centre, leaves_out_older):
        self._vm = vm
        self._data_centre = data_centre
        self._leaves_out_older = leaves_out_older
        self._view = None
        self._builds = _revision_builds.PeerBuilds()
        self._remote_watchers = ()
        self._partner_count = 0
        self._remote_count = 0
        self.names = [vm]

    @property
    def has_view(self):
        """Whether there has been a membership view."""
        return self._view is not None

    @property
    def partners(self):
        """Names of the VMs that this VM exchanges digests with."""
        return _revision_topology.choose_partners(self._vm, self.names)

    def set_view(self, view):
        """Replace the membership view."""
        self._view = view
        members = self._builds.leave_out_older(view.members)
        view = attrs.evolve(view, members=members)
        local_members = view.in_data_centre(self._data_centre)
        # The view may not include this VM yet, but a VM has to work even
        # without peers.
        names = {member.name for member in local_members} | {self._vm}
        self.names = sorted(names)
        self._remote_watchers = self._choose_remote_watchers(view)

    def note_answer(self, vm, message):
        """Note a VM's answer; return whether it changes who takes part."""
        member = self._view.find(vm) if self._view else None
        if member is None or not self._leaves_out_older:
            return False
        if not self._builds.note_answer(member, message):
            return False
        self.set_view(self._view)
        return True

    def list_unknown(self):
        """Return VMs of the data centre that never answered.

        Possible watchers come first.
        """
        if not self._leaves_out_older or self._view is None:
            return []
        members = self._view.in_data_centre(self._data_centre)
        unknown = [
            name
            for name in self._builds.list_unknown(members)
            if name != self._vm
        ]
        return _revision_topology.choose_watchers(
            self._data_centre, unknown, PROBES_MAX
        )

    def next_partner(self):
        """Return the next partner in turn, None without any."""
        partners = self.partners
        if not partners:
            return None
        self._partner_count += 1
        return partners[self._partner_count % len(partners)]

    def next_remote_watcher(self):
        """Return the next watcher of other data centres, None without any."""
        watchers = self._remote_watchers
        if not watchers:
            return None
        self._remote_count += 1
        return watchers[self._remote_count % len(watchers)]

    def _choose_remote_watchers(self, view):
        remote_names = {}
        for member in view.members:
            if member.state in ('alive', 'suspect'):
                remote_names.setdefault(member.data_centre, []).append(
                    member.name
                )
        remote_names.pop(self._data_centre, None)
        return tuple(
            name
            for data_centre in sorted(remote_names)
            for name in _revision_topology.choose_watchers(
                data_centre, remote_names[data_centre]
            )
        )
