"""Permits that a VM grants itself while it can reach no scheduler.

The VM uses only an equal share of the memory that the engines report free, as
if every known VM of the data centre, even one that seems dead, were isolated
and did the same.
"""

import trio

from bluebellthread import core
from bluebellthread.daemon import _tasks

SHARING_STATES = ('alive', 'suspect', 'leaving', 'dead')


class CautiousShare:
    """Grants permits within this VM's share of the free engine memory.

    Parameters
    ----------
    fleet : Fleet
        Holds the backend servers and the VMs that share their memory.
    engine_control : EngineControl
        Reads the load reports of the backend servers.
    enabled : bool
        Whether permits are granted at all; only tests turn this off.
    """

    def __init__(self, *, fleet, engine_control, enabled=True):
        self._fleet = fleet
        self._engine_control = engine_control
        self._enabled = enabled
        self._permits = {}

    async def grant_permit(self, request, permit_id):
        """Return a permit within the share, or None if it does not fit."""
        if not self._enabled:
            return None
        reports = await self._read_reports(request.pool)
        pieces = core.count_pieces(
            request.prompt_tokens, request.output_tokens
        )
        prefills = [
            report
            for server, report in reports
            if server.role == core.ROLE_PREFILL
        ]
        decodes = [
            (self._free_share(report, request.pool), report.server)
            for server, report in reports
            if server.role == core.ROLE_DECODE
        ]
        if not prefills or not decodes or max(decodes)[0] < pieces:
            return None
        prefill = min(prefills, key=lambda report: report.queued_count)
        permit = core.Permit(
            permit_id=permit_id,
            request_id=request.request_id,
            attempt_number=request.attempt_number,
            gateway=request.gateway,
            gateway_incarnation=request.gateway_incarnation,
            caller=request.caller,
            pool=request.pool,
            prefill_server=prefill.server,
            decode_server=max(decodes)[1],
            prompt_tokens=request.prompt_tokens,
            pieces=pieces,
            deadline_ms=request.deadline_ms,
        )
        self._permits[permit_id] = permit
        return permit

    def release_permit(self, permit):
        """Stop counting a permit against the share; idempotent."""
        self._permits.pop(permit.permit_id, None)

    async def _read_reports(self, pool):
        reports = []

        async def read(server):
            report = await self._engine_control.read_report(server)
            if report is not None and not report.leaving:
                reports.append((server, report))

        servers = self._fleet.configuration.servers_of(
            pool.serves, pool.data_centre
        )
        async with trio.open_nursery() as nursery:
            for server in servers:
                if not server.leaving:
                    _tasks.start_joined(nursery, read, server)
        return reports

    def _free_share(self, report, pool):
        """Return how many blocks of a decode server's memory this VM may use.

        Permits of this VM count as used even if the report, which may lag,
        does not list them yet.
        """
        members = self._fleet.view.in_data_centre(
            pool.data_centre, states=SHARING_STATES
        )
        used = sum(
            permit.pieces
            for permit in self._permits.values()
            if permit.decode_server == report.server
        )
        reported = sum(
            permit.pieces
            for permit in self._permits.values()
            if permit.permit_id in report.running_ids
        )
        share = (report.free_pieces + reported) // max(1, len(members))
        return share - used
