"""What an entry process imports at its start, which its callers wait for."""

import sys
import unittest

import trio

from bluebellthread import core
from bluebellthread import wire
from bluebellthread.wire import _codec
from bluebellthread.wire import _structs

LIST_MODULES = """
import sys
import bluebellthread.platform.__main__
print('\\n'.join(sys.modules))
"""

UNUSED = (
    'bluebellthread.core._answer',
    'bluebellthread.core._membership',
    'bluebellthread.core._scheduler',
    'bluebellthread.core._ticket_store',
    'bluebellthread.core._tickets',
    'hypercorn',
    'opentelemetry',
)
"""Modules of other processes, or needed only after the start."""


def list_imported():
    """Return the names of the modules that a new entry process imports."""

    async def run():
        return await trio.run_process(
            [sys.executable, '-c', LIST_MODULES], capture_stdout=True
        )

    return set(trio.run(run).stdout.decode().split())


class TestImports(unittest.TestCase):
    def test_entry_process_imports_no_module_of_other_processes(self):
        imported = list_imported()
        self.assertIn('bluebellthread.core.routing', imported)
        self.assertEqual(set(), imported & set(UNUSED))

    def test_every_name_of_the_core_can_be_imported(self):
        for name in core.__all__:
            with self.subTest(name):
                self.assertIsNotNone(getattr(core, name))
        with self.assertRaisesRegex(AttributeError, 'Missing'):
            core.__getattr__('Missing')


class TestStructs(unittest.TestCase):
    def test_generated_fields_are_those_of_the_idl(self):
        self.assertEqual(
            _structs.generate(),
            _structs.GENERATED_PATH.read_text(encoding='utf-8'),
        )

    def test_every_message_class_has_a_struct_with_its_fields(self):
        messages = wire.list_messages()
        self.assertIn(core.ManifestRequest, messages)
        for message in messages:
            with self.subTest(message.__name__):
                struct = getattr(_codec._idl, message.__name__)
                self.assertLessEqual(
                    {field.name for field in message.__attrs_attrs__},
                    {spec[1] for spec in struct.thrift_spec.values()},
                )
