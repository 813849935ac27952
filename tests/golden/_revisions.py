"""Machine and event shorthands for golden sessions of `Revisions`."""

import random

from bluebellthread import configuration
from bluebellthread import core

from tests.golden import _replay


class Machine:
    """One VM's `Revisions`, which also accepts views as events."""

    def __init__(self, vm):
        self._revisions = core.Revisions(
            vm=vm,
            data_centre='cluj-a',
            build_configuration=configuration.build_configuration,
            rng=random.Random(1),
        )

    def handle(self, event, now_ms):
        if isinstance(event, core.MembershipView):
            return self._revisions.change_view(event, now_ms)
        return self._revisions.handle(event, now_ms)


@_replay.machines.register('revisions')
def make_machine(options):
    return Machine(options['vm'])


@_replay.event_shorthands.register('View')
def make_view(fields):
    return core.MembershipView(
        members=tuple(
            core.Member(
                name=name,
                data_centre='cluj-a',
                region='transilvania',
                host='10.0.0.1',
                peer_port=7400,
                caller_port=8400,
            )
            for name in fields['names']
        )
    )


def make_value(fields):
    value = {
        'revision': fields['revision'],
        'defaults': {'pace_target_ms': fields.get('pace_ms', 45)},
    }
    if 'models' in fields:
        value['models'] = [{'name': name} for name in fields['models']]
    return value


@_replay.event_shorthands.register('Published')
def make_published(fields):
    value = make_value(fields)
    return core.RevisionPublished(
        value=value, configuration=configuration.build_configuration(value)
    )


@_replay.event_shorthands.register('Manifest')
def make_manifest(fields):
    manifest, _ = core.split_value(make_value(fields))
    answer = core.ManifestAnswer(
        revision=manifest.revision,
        digest=manifest.digest(),
        parts=manifest.parts,
    )
    return core.PeerAnswered(vm=fields['vm'], message=answer)


@_replay.event_shorthands.register('Sections')
def make_sections(fields):
    _, sections = core.split_value(make_value(fields))
    answer = core.SectionsAnswer(payload=core.pack_sections(sections.values()))
    return core.PeerAnswered(vm=fields['vm'], message=answer)


@_replay.event_shorthands.register('Nothing')
def make_nothing(fields):
    answer = core.ManifestAnswer(revision=0, digest=0)
    return core.PeerAnswered(vm=fields['vm'], message=answer)


@_replay.event_shorthands.register('Announced')
def make_announced(fields):
    manifest, _ = core.split_value(make_value(fields))
    message = core.RevisionAnnounced(
        vm=fields['vm'], revision=manifest.revision, digest=manifest.digest()
    )
    return core.PeerAsked(token=fields['vm'], message=message)
