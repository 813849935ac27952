import collections
import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from bluebellthread import configuration
from bluebellthread import core
from bluebellthread import wire

DATA_CENTRES = {'a': ('a1', 'a2', 'a3'), 'b': ('b1', 'b2')}


TARGET_VMS = 78
"""Number of VMs in one data centre of a fleet of the target size."""
TARGET_ITEMS = 2000
CHANGES_PER_DAY = 1400
SECONDS_PER_DAY = 86400
BUDGET_BYTES_PER_S = 13_000


def make_value(revision, *, pace_ms=45, invalid=False, models=40):
    models = [{'name': f'm{number}'} for number in range(models)]
    if invalid:
        models.append(models[0])
    return {
        'revision': revision,
        'models': models,
        'defaults': {'pace_target_ms': pace_ms},
    }


def make_view(names):
    return core.MembershipView(
        members=tuple(
            core.Member(
                name=name,
                data_centre=name[0],
                region='r',
                host='127.0.0.1',
                peer_port=1,
                caller_port=2,
            )
            for name in sorted(names)
        )
    )


def measure_bytes(message):
    """Return the length of a message's frame on a peer connection."""
    envelope = wire.Envelope(
        message=message, sender='a1', sender_incarnation=2**61, correlation=1
    )
    return len(wire.encode_frame(envelope, now_ms=0))


class Network:
    """Simulated VMs whose messages a test delivers, delays or drops.

    ``partitioned`` holds the data centres that exchange no messages with
    others.
    """

    def __init__(self, data_centres=DATA_CENTRES):
        self.vms = {}
        self.applied = {}
        self.reports = []
        self.in_flight = []
        self.now_ms = 0
        self.partitioned = set()
        self.names = [
            name for names in data_centres.values() for name in names
        ]
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start or restart a VM, which begins without any state."""
        self.in_flight = [
            (vm, kind, item)
            for vm, kind, item in self.in_flight
            if vm != name and item[0] != name
        ]
        self.vms[name] = core.Revisions(
            vm=name,
            data_centre=name[0],
            build_configuration=configuration.build_configuration,
            rng=random.Random(name),
        )
        self.applied[name] = []
        self.feed(name, core.Tick())
        view = make_view(self.names)
        self.execute(name, self.vms[name].change_view(view, self.now_ms))

    def feed(self, name, event):
        self.execute(name, self.vms[name].handle(event, self.now_ms))

    def publish(self, name, value):
        try:
            built = configuration.build_configuration(value)
        except core.ConfigurationError as error:
            event = core.PublishedInvalid(
                revision=value['revision'], problems=error.problems
            )
        else:
            event = core.RevisionPublished(value=value, configuration=built)
        self.feed(name, event)

    def execute(self, name, commands):
        for command in commands:
            if isinstance(command, core.ApplyConfiguration):
                self.applied[name].append(command.configuration)
            elif isinstance(command, (core.AskPeer, core.TellPeer)):
                item = (name, command.message)
                self.in_flight.append((command.vm, 'message', item))
            elif isinstance(command, core.AnswerPeer):
                receiver = command.token
                item = (name, command.message)
                self.in_flight.append((receiver, 'answer', item))
            elif not isinstance(command, core.WatchPlatform):
                self.reports.append((name, command))

    def deliver(self, index=0):
        to, kind, (sender, message) = self.in_flight.pop(index)
        if {to[0], sender[0]} & self.partitioned and to[0] != sender[0]:
            if kind == 'message':
                failed = core.PeerFailed(vm=to, message=message)
                self.feed(sender, failed)
        elif kind == 'message':
            self.feed(to, core.PeerAsked(token=sender, message=message))
        else:
            self.feed(to, core.PeerAnswered(vm=sender, message=message))

    def settle(self, *, duration_ms=0):
        """Deliver all messages while virtual time advances."""
        end_ms = self.now_ms + duration_ms
        while True:
            while self.in_flight:
                self.deliver()
            if self.now_ms >= end_ms:
                return
            self.now_ms += 100
            for name in self.names:
                self.feed(name, core.Tick())

    def revisions(self):
        return {vm.revision for vm in self.vms.values()}


class TestRevisions(unittest.TestCase):
    def make_settled(self, revision):
        network = Network()
        network.settle(duration_ms=1500)
        network.publish('a1', make_value(revision))
        network.settle(duration_ms=3000)
        self.assertEqual({revision}, network.revisions())
        return network

    def test_a_revision_from_one_watcher_reaches_all_vms(self):
        self.make_settled(4)

    def test_each_data_centre_keeps_two_watchers_after_a_death(self):
        network = Network()
        watching = [n for n, vm in network.vms.items() if vm.watching]
        self.assertEqual(4, len(watching))
        dead = next(name for name in watching if name[0] == 'a')
        left = [name for name in network.names if name != dead]
        for name in left:
            network.vms[name].change_view(make_view(left), 0)
        watching = [n for n in left if network.vms[n].watching]
        self.assertEqual(4, len(watching))

    def test_an_older_platform_revision_is_ignored_and_reported(self):
        network = self.make_settled(4)
        network.publish('a2', make_value(3))
        self.assertEqual({4}, network.revisions())
        expected = core.ReportStale(served_revision=3, in_force_revision=4)
        self.assertIn(('a2', expected), network.reports)

    def test_a_restarted_vm_applies_the_higher_revision_of_its_peers(self):
        network = self.make_settled(4)
        network.start('a1')
        network.publish('a1', make_value(2))
        network.settle(duration_ms=500)
        found = [item.revision for item in network.applied['a1']]
        self.assertEqual([4], found)

    def test_a_vm_that_applied_an_old_copy_gets_the_newer_revision(self):
        network = self.make_settled(4)
        network.start('a1')
        network.in_flight.clear()
        network.publish('a1', make_value(2))
        network.now_ms += core.RevisionOptions().start_timeout_ms
        network.feed('a1', core.Tick())
        network.in_flight.clear()
        self.assertEqual({2, 4}, network.revisions())
        network.settle(duration_ms=6000)
        found = [item.revision for item in network.applied['a1']]
        self.assertEqual([2, 4], found)
        self.assertEqual({4}, network.revisions())

    def test_a_restarted_vm_without_peers_applies_the_platforms_revision(self):
        network = Network({'a': ('a1',)})
        network.publish('a1', make_value(2))
        network.settle(duration_ms=1100)
        self.assertEqual({2}, network.revisions())

    def test_an_invalid_revision_is_reported_and_not_distributed(self):
        network = self.make_settled(4)
        network.publish('a1', make_value(5, invalid=True))
        network.settle(duration_ms=3000)
        self.assertEqual({4}, network.revisions())
        self.assertEqual(5, network.vms['a1'].invalid_revision)

    def test_an_isolated_data_centre_catches_up_when_reconnected(self):
        network = self.make_settled(4)
        network.partitioned = {'b'}
        network.publish('a1', make_value(5))
        network.settle(duration_ms=3000)
        self.assertEqual({4, 5}, network.revisions())
        network.partitioned = set()
        network.settle(duration_ms=3000)
        self.assertEqual({5}, network.revisions())

    def test_a_late_answer_with_an_older_revision_is_ignored(self):
        network = self.make_settled(4)
        network.publish('a2', make_value(5))
        asked = core.ManifestRequest(vm='a1', revision=4, digest=0)
        event = core.PeerAsked(token='a1', message=asked)
        answer = network.vms['a2'].handle(event, 0)[0].message
        network.publish('a1', make_value(6))
        network.feed('a1', core.PeerAnswered(vm='a2', message=answer))
        network.settle()
        found = [item.revision for item in network.applied['a1']]
        self.assertEqual([4, 6], found)

    def test_the_tree_reaches_all_vms_with_few_messages_per_vm(self):
        network = Network({'a': tuple(f'a{n}' for n in range(TARGET_VMS))})
        network.settle(duration_ms=1500)
        network.publish('a7', make_value(4, models=TARGET_ITEMS))
        network.settle()
        network.publish('a7', make_value(5, models=TARGET_ITEMS + 1))
        announced_counts = collections.Counter()
        sent_bytes = collections.Counter()
        while network.in_flight:
            sender, message = network.in_flight[0][2]
            announced_counts[sender] += isinstance(
                message, core.RevisionAnnounced
            )
            sent_bytes[sender] += measure_bytes(message)
            network.deliver()
        self.assertEqual({5}, network.revisions())
        self.assertLessEqual(max(announced_counts.values()), 5)
        mean_bytes = sum(sent_bytes.values()) / TARGET_VMS
        most_bytes = max(sent_bytes.values())
        print(f'adding an item: mean {mean_bytes:.0f} B, max {most_bytes} B')
        per_s = most_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY
        self.assertLess(per_s, BUDGET_BYTES_PER_S / 10)

    def test_exchanges_replace_lost_announcements(self):
        network = Network({'a': ('a1', 'a2', 'a3')})
        network.settle(duration_ms=1500)
        network.publish('a1', make_value(5))
        network.in_flight.clear()
        network.settle(duration_ms=6000)
        self.assertEqual({5}, network.revisions())

    def test_two_contents_of_one_revision_converge(self):
        network = self.make_settled(4)
        network.partitioned = {'b'}
        network.publish('a1', make_value(5))
        network.publish('b1', make_value(5, pace_ms=46))
        network.settle(duration_ms=3000)
        network.partitioned = set()
        network.settle(duration_ms=3000)
        self.assertEqual(1, len({vm.digest for vm in network.vms.values()}))
        kinds = {type(report) for _, report in network.reports}
        self.assertIn(core.ReportConflict, kinds)

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(strategies.data())
    def test_no_vm_applies_an_older_revision_in_any_interleaving(self, data):
        network = Network()
        names = strategies.sampled_from(network.names)
        steps = data.draw(strategies.integers(1, 60))
        for _ in range(steps):
            step = data.draw(
                strategies.sampled_from(
                    ['publish', 'deliver', 'lose', 'tick', 'restart', 'cut']
                )
            )
            if step == 'publish':
                revision = data.draw(strategies.integers(1, 5))
                pace_ms = data.draw(strategies.sampled_from([45, 46]))
                value = make_value(revision, pace_ms=pace_ms)
                network.publish(data.draw(names), value)
            elif step == 'tick':
                network.now_ms += data.draw(strategies.integers(1, 3000))
                network.feed(data.draw(names), core.Tick())
            elif step == 'restart':
                network.start(data.draw(names))
            elif step == 'cut':
                network.partitioned = set() if network.partitioned else {'b'}
            elif network.in_flight:
                last = len(network.in_flight) - 1
                index = data.draw(strategies.integers(0, last))
                if step == 'lose':
                    del network.in_flight[index]
                else:
                    network.deliver(index)
            for applied in network.applied.values():
                revisions = [item.revision for item in applied]
                self.assertEqual(sorted(revisions), revisions)
        network.partitioned = set()
        network.settle(duration_ms=30000)
        self.assertEqual(1, len({vm.digest for vm in network.vms.values()}))


class TestWatchDuty(unittest.TestCase):
    """Which VMs watch the platform, beside and in place of the chosen ones."""

    OPTIONS = core.RevisionOptions(
        view_settle_ms=500, platform_silence_ms=10_000
    )
    START_MS = 1_000

    def make_vms(self, count):
        names = [f'a{number}' for number in range(count)]
        vms = {name: self.make_vm(name) for name in names}
        for vm in vms.values():
            vm.change_view(make_view(names), 0)
        self.run_until(vms, self.START_MS, platform_age_ms=0)
        return vms

    def make_vm(self, name):
        return core.Revisions(
            vm=name,
            data_centre='a',
            build_configuration=configuration.build_configuration,
            rng=random.Random(name),
            options=self.OPTIONS,
        )

    def answer(self, vm, now_ms, *, platform_age_ms):
        answer = core.ManifestAnswer(
            revision=0, digest=0, platform_age_ms=platform_age_ms
        )
        vm.handle(core.PeerAnswered(vm='a0', message=answer), now_ms)

    def run_until(self, vms, end_ms, *, platform_age_ms=-1, first_ms=0):
        """Let ticks and peers' answers arrive; count the VMs that watch."""
        for now_ms in range(first_ms, end_ms + 1, 500):
            for vm in vms.values():
                if platform_age_ms is not None:
                    self.answer(vm, now_ms, platform_age_ms=platform_age_ms)
                vm.handle(core.Tick(), now_ms)
        return sum(vm.watching for vm in vms.values())

    def find_not_watching(self, vms):
        return next(vm for vm in vms.values() if not vm.watching)

    def test_more_vms_watch_the_longer_nobody_reads_the_platform(self):
        vms = self.make_vms(20)
        counts = []
        first_ms = self.START_MS
        for end_ms in (10_000, 11_000, 21_000, 90_000):
            counts.append(self.run_until(vms, end_ms, first_ms=first_ms))
            first_ms = end_ms
        self.assertEqual([2, 4, 6, 6], counts)

    # Guards against times in which nobody reads: reads of substitutes used
    # to count as news, and ended the watch of all substitutes.
    def test_substitutes_watch_until_a_chosen_watcher_reads_again(self):
        vms = self.make_vms(20)
        self.run_until(vms, 31_000, first_ms=self.START_MS)
        chosen = core.choose_watchers('a', sorted(vms))
        for now_ms in range(31_000, 120_000, 1_000):
            for name, vm in vms.items():
                if vm.watching and name not in chosen:
                    vm.handle(core.PlatformAnswered(), now_ms)
            watching = self.run_until(vms, now_ms, first_ms=now_ms)
            self.assertEqual(6, watching, now_ms)
        watching = self.run_until(
            vms, 121_000, platform_age_ms=2_000, first_ms=120_000
        )
        self.assertEqual(2, watching)

    def test_news_of_the_platform_is_passed_on_with_its_age(self):
        names = core.choose_watchers('a', [f'a{n}' for n in range(20)])
        vms = self.make_vms(20)
        reader, other = (vms[name] for name in names)
        reader.handle(core.PlatformAnswered(), 5_000)
        request = core.ManifestRequest(vm='a1', revision=0, digest=0)
        asked = core.PeerAsked(token='a1', message=request)
        answer = reader.handle(asked, 8_000)[0].message
        self.assertEqual(3_000, answer.platform_age_ms)
        other.handle(core.PeerAnswered(vm='a0', message=answer), 8_000)
        answer = other.handle(asked, 9_000)[0].message
        self.assertEqual(4_000, answer.platform_age_ms)

    def test_vm_watches_for_as_long_as_no_peer_answers(self):
        vms = self.make_vms(20)
        vm = self.find_not_watching(vms)
        rejected = core.Rejected(kind='unexpected-message', remedy='')
        event = core.PeerAnswered(vm='a0', message=rejected)
        alone = {'a': vm}
        for now_ms in range(self.START_MS, 100_000, 500):
            vm.handle(event, now_ms)
            self.run_until(
                alone, now_ms, platform_age_ms=None, first_ms=now_ms
            )
            if vm.watching:
                vm.handle(core.PlatformAnswered(), now_ms)
            if now_ms >= 17_000:
                self.assertTrue(vm.watching, now_ms)
        self.run_until(alone, 101_000, platform_age_ms=0, first_ms=100_000)
        self.assertFalse(vm.watching)

    # Guards against whole reads by all VMs that wake up together.
    def test_silence_counts_from_the_end_of_a_pause(self):
        vms = self.make_vms(20)
        self.run_until(vms, 5_000, platform_age_ms=0, first_ms=self.START_MS)
        watching = self.run_until(
            vms, 40_000, platform_age_ms=None, first_ms=40_000
        )
        self.assertEqual(2, watching)

    def test_vm_that_starts_watches_once_its_view_has_settled(self):
        vm = self.make_vm('a0')
        watching = []
        for now_ms in range(0, 1_500, 100):
            if now_ms <= 600:
                names = [f'a{number}' for number in range(now_ms // 300 + 1)]
                vm.change_view(make_view(names), now_ms)
            vm.handle(core.Tick(), now_ms)
            watching.append(vm.watching)
        chosen = core.choose_watchers('a', ['a0', 'a1', 'a2'])
        self.assertEqual([False] * 11, watching[:11])
        self.assertEqual(['a0' in chosen] * 4, watching[11:])


class TestFetch(unittest.TestCase):
    """Sections that are on their way while a newer revision is announced."""

    def make_network(self):
        network = Network({'a': ('a1', 'a2')})
        network.settle(duration_ms=1500)
        network.publish('a2', make_value(4))
        network.settle(duration_ms=3000)
        return network

    def deliver_until(self, network, message_class):
        """Deliver messages until one of a class is next; return it."""
        while not isinstance(network.in_flight[0][2][1], message_class):
            network.deliver()
        return network.in_flight[0][2][1]

    def test_sections_of_an_overtaken_revision_are_kept(self):
        network = self.make_network()
        network.publish('a2', make_value(5, models=200))
        self.deliver_until(network, core.SectionsRequest)
        network.deliver()
        delayed = network.in_flight.pop()
        network.publish('a2', make_value(6, models=200, pace_ms=50))
        self.deliver_until(network, core.SectionsRequest)
        network.in_flight.insert(0, delayed)
        network.deliver()
        while network.in_flight:
            network.deliver()
        self.assertEqual({6}, network.revisions())

    def test_large_revision_is_fetched_in_batches_that_are_kept(self):
        network = self.make_network()
        network.publish('a2', make_value(5, models=2000))
        first = self.deliver_until(network, core.SectionsRequest)
        network.deliver()
        self.deliver_until(network, core.SectionsAnswer)
        network.deliver()
        second = self.deliver_until(network, core.SectionsRequest)
        self.assertFalse(set(first.digests) & set(second.digests))
        # The second batch is lost; a later exchange goes on from there.
        to, _, (sender, message) = network.in_flight.pop(0)
        network.feed(sender, core.PeerFailed(vm=to, message=message))
        asked = set()
        while network.revisions() != {5}:
            network.now_ms += 100
            for name in network.names:
                network.feed(name, core.Tick())
            while network.in_flight:
                message = network.in_flight[0][2][1]
                if isinstance(message, core.SectionsRequest):
                    asked.update(message.digests)
                network.deliver()
        self.assertEqual(set(), set(second.digests) - asked)
        self.assertEqual(set(), set(first.digests) & asked)


class TestOlderBuilds(unittest.TestCase):
    """VMs beside others whose build rejects the messages."""

    NAMES = tuple(f'a{number}' for number in range(20))
    RANKED = tuple(core.choose_watchers('a', list(NAMES), len(NAMES)))
    REJECTED = core.Rejected(kind='unexpected-message', remedy='')
    KNOWING = core.ManifestAnswer(revision=0, digest=0)

    def start(self, name, older):
        """Start a VM, and answer what it asks until it asks nothing.

        Returns the VM and the names that it asked.
        """
        vm = core.Revisions(
            vm=name,
            data_centre='a',
            build_configuration=configuration.build_configuration,
            options=core.RevisionOptions(leaves_out_older_builds=True),
        )
        commands = vm.change_view(make_view(self.NAMES), 0)
        asked = self.answer_all(vm, commands, older, 0)
        for now_ms in (2_000, 4_000, 6_000):
            commands = vm.handle(core.Tick(), now_ms)
            asked += self.answer_all(vm, commands, older, now_ms)
        return vm, asked

    def answer_all(self, vm, commands, older, now_ms):
        asked = []
        while commands:
            command = commands.pop(0)
            if not isinstance(command, core.AskPeer):
                continue
            asked.append(command.vm)
            message = self.REJECTED if command.vm in older else self.KNOWING
            event = core.PeerAnswered(vm=command.vm, message=message)
            commands += vm.handle(event, now_ms)
        return asked

    def test_watchers_are_the_first_that_know_the_messages(self):
        older = self.RANKED[:7] + self.RANKED[8:9]
        watching = [
            name
            for name in self.NAMES
            if name not in older and self.start(name, older)[0].watching
        ]
        expected = {self.RANKED[7], self.RANKED[9]}
        self.assertEqual(expected, set(watching))

    def test_older_builds_get_no_announcements_and_are_no_partners(self):
        older = set(self.RANKED[:12])
        vm, _ = self.start(self.RANKED[12], older)
        self.assertFalse(older & set(vm.partners))
        for revision in range(1, 9):
            value = make_value(revision)
            built = configuration.build_configuration(value)
            event = core.RevisionPublished(value=value, configuration=built)
            told = {
                command.vm
                for command in vm.handle(event, 7_000)
                if isinstance(command, core.TellPeer)
            }
            self.assertFalse(older & told)

    def test_every_vm_is_asked_and_only_the_partners_again(self):
        vm, asked = self.start('a0', ())
        self.assertEqual(set(self.NAMES) - {'a0'}, set(asked))
        counts = collections.Counter(asked)
        again = {name for name, count in counts.items() if count > 1}
        self.assertLessEqual(again, set(vm.partners))

    def test_vm_that_does_not_answer_is_asked_again(self):
        vm, _ = self.start('a0', ())
        view = make_view((*self.NAMES, 'a99'))
        request = vm.make_manifest_request('a99')
        self.assertIn(request, vm.change_view(view, 7_000))
        failed = core.PeerFailed(vm='a99', message=request.message)
        vm.handle(failed, 8_000)
        self.assertIn(request, vm.handle(core.Tick(), 12_000))

    def test_busy_vm_still_counts(self):
        vm, _ = self.start(self.RANKED[2], ())
        busy = core.Rejected(kind='busy', remedy='')
        for name in self.RANKED[:2]:
            vm.handle(core.PeerAnswered(vm=name, message=busy), 7_000)
        self.assertFalse(vm.watching)

    def test_vm_that_starts_again_with_another_build_counts_again(self):
        vm, _ = self.start(self.RANKED[2], self.RANKED[:2])
        self.assertTrue(vm.watching)
        members = tuple(
            attrs.evolve(member, incarnation=member.name in self.RANKED[:2])
            for member in make_view(self.NAMES).members
        )
        view = core.MembershipView(members=members)
        commands = vm.change_view(view, 7_000)
        self.assertFalse(vm.watching)
        asked = {c.vm for c in commands if isinstance(c, core.AskPeer)}
        self.assertEqual(set(self.RANKED[:2]), asked)


class TestSections(unittest.TestCase):
    def test_one_more_item_changes_at_most_two_sections(self):
        value = make_value(1)
        _, before = core.split_value(value)
        value['models'].insert(20, {'name': 'another'})
        _, after = core.split_value(value)
        self.assertLessEqual(len(set(after) - set(before)), 2)

    def test_a_manifest_with_wrong_section_types_is_rejected(self):
        manifest, sections = core.split_value(make_value(1))
        for is_list in (True, False):
            parts = tuple(
                core.ManifestPart(
                    key=part.key, is_list=is_list, digests=part.digests
                )
                for part in manifest.parts
            )
            with self.assertRaises(core.BluebellthreadError):
                core.join_value(
                    core.Manifest(revision=1, parts=parts), sections
                )
