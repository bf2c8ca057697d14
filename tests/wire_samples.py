"""Messages and records that leave a process, one sample of each type.

No field has its default, and no two fields of a sample have the same number or
text, so that a test detects a missing field or two swapped ones. The exception
is the name of a change, which must equal that of its body.
"""

from mintlanding.agent import lease_client
from mintlanding.agent import messages as agent
from mintlanding.configuration import documents
from mintlanding.configuration import messages as configuration
from mintlanding.configuration import models as objects
from mintlanding.coordination import http_services as platform_http
from mintlanding.coordination import instances, keyvalue
from mintlanding.engines import messages as engines
from mintlanding.idempotency import models as orders
from mintlanding.limits import messages as limits
from mintlanding.limits import seats
from mintlanding.links import messages as links
from mintlanding.membership import messages as membership
from mintlanding.membership import models as members
from mintlanding.node import view
from mintlanding.peers import messages as peers
from mintlanding.placement import messages as placement
from mintlanding.quarantine import messages as quarantine
from mintlanding.quarantine import records as quarantine_records
from mintlanding.reports import burn
from mintlanding.reports import messages as reports
from mintlanding.residency import messages as residency
from mintlanding.standin import faults as standin_faults
from mintlanding.standin import records as standin_records
from mintlanding.streams import messages as streams
from mintlanding.target_limits import messages as target_limits

# Modules whose structs leave a process, with their encoding. The key is the
# first part of the names of their samples.
MODULES = {
    'links': (links, 'msgpack'),
    'residency': (residency, 'msgpack'),
    'streams': (streams, 'msgpack'),
    'quarantine': (quarantine, 'msgpack'),
    'target_limits': (target_limits, 'msgpack'),
    'quarantine_records': (quarantine_records, 'json'),
    'limits': (limits, 'msgpack'),
    'membership': (membership, 'msgpack'),
    'members': (members, 'msgpack'),
    'agent': (agent, 'msgpack'),
    'configuration': (configuration, 'msgpack'),
    'placement': (placement, 'msgpack'),
    'reports': (reports, 'msgpack'),
    'peers': (peers, 'msgpack'),
    'documents': (documents, 'msgpack'),
    'objects': (objects, 'msgpack'),
    'orders': (orders, 'msgpack'),
    'instances': (instances, 'msgpack'),
    'keyvalue': (keyvalue, 'msgpack'),
    'platform_http': (platform_http, 'msgpack'),
    'engines': (engines, 'json'),
    'view': (view, 'json'),
    'lease_calls': (lease_client, 'json'),
    'seats': (seats, 'json'),
    'burn': (burn, 'json'),
    'standin_records': (standin_records, 'json'),
    'standin_faults': (standin_faults, 'json'),
}

# The unions that receivers decode by tag.
UNIONS = (links.Message, limits.LimitsMessage, objects.AnyObject)

SAMPLES = {
    'links.Hello': links.Hello(
        instance='text-1', incarnation='text-2', proof='text-3'
    ),
    'links.Status': links.Status(
        instance='text-4',
        incarnation='text-5',
        sent_at=6.5,
        asks_consent=True,
        digests=(
            residency.WorkerDigest(
                worker='text-7',
                incarnation=108,
                can_order=True,
                running=109,
                queued=110,
                wait=11.5,
                load_wait=12.5,
                has_model=False,
                ready=('text-13',),
                hot=('text-14',),
                room=residency.DigestRoom(
                    (901, 902), (('text-903', 904, 905),), 906
                ),
                prefill_rate=701,
                token_us=702,
            ),
        ),
        admitted={'text-15': 16.5},
        levels={'text-17': 18.5},
        is_leaving=True,
        store_contact=18.75,
        suspects=(
            quarantine.SuspectPart(
                part='text-18',
                position=119,
                crashes=(quarantine.EngineCrash(engine='text-19', age=20.5),),
                answered_age=21.5,
                is_quarantined=True,
            ),
        ),
        limits=(
            target_limits.LimitReport(
                target='text-22', incarnation=23, limit=24.5, age=25.5
            ),
        ),
        requests=(
            quarantine.SuspectPart(
                part='text-26',
                position=27,
                crashes=(quarantine.EngineCrash(engine='text-28', age=29.5),),
                answered_age=30.5,
                is_quarantined=True,
            ),
        ),
        leaving=(('text-31', 32),),
        brittle=(
            target_limits.LimitReport(
                target='text-33', incarnation=34, limit=35.5, age=36.5
            ),
        ),
        unreached=('text-37',),
        store_era=157,
        era_age=158.5,
    ),
    'links.MemberWord': links.MemberStatus(
        instance='text-19',
        incarnation='text-20',
        sent_at=21.5,
        asks_consent=True,
    ),
    'links.ZoneWord': links.ZoneStatus(
        zone='text-22',
        hub='text-23',
        hub_incarnation='text-24',
        sent_at=25.5,
        members=(
            links.MemberStatus(
                instance='text-26',
                incarnation='text-27',
                sent_at=28.5,
                asks_consent=True,
            ),
        ),
        digests=(
            (
                'text-29',
                residency.WorkerDigest(
                    worker='text-30',
                    incarnation=131,
                    can_order=True,
                    running=132,
                    queued=133,
                    wait=34.5,
                    load_wait=35.5,
                    has_model=False,
                    ready=('text-36',),
                    hot=('text-37',),
                    room=residency.DigestRoom(
                        (901, 902), (('text-903', 904, 905),), 906
                    ),
                    prefill_rate=703,
                    token_us=704,
                ),
            ),
        ),
        admitted={'text-38': 39.5},
        levels={'text-40': 41.5},
        store_contact=41.75,
        suspects=(
            quarantine.SuspectPart(
                part='text-41',
                position=142,
                crashes=(quarantine.EngineCrash(engine='text-42', age=43.5),),
                answered_age=44.5,
                is_quarantined=True,
            ),
        ),
        limits=(
            target_limits.LimitReport(
                target='text-45', incarnation=46, limit=47.5, age=48.5
            ),
        ),
        requests=(
            quarantine.SuspectPart(
                part='text-49',
                position=50,
                crashes=(quarantine.EngineCrash(engine='text-51', age=52.5),),
                answered_age=53.5,
                is_quarantined=True,
            ),
        ),
        leaving=(('text-54', 55),),
        brittle=(
            target_limits.LimitReport(
                target='text-60', incarnation=61, limit=62.5, age=63.5
            ),
        ),
        unreached={'text-57': ('text-58',)},
        store_era=160,
        era_age=161.5,
        asking_eras={'text-163': 164},
    ),
    'links.UseReport': links.UseReport(
        instance='text-42',
        in_use=(
            (
                'text-43',
                'text-44',
            ),
        ),
    ),
    'links.Consent': links.Consent(status_sent_at=45.5),
    'links.StoreChange': links.StoreChange(
        key='text-46',
        revision=147,
        content=b'bytes-48',
        lease=149,
        is_removed=True,
    ),
    'links.StoreNews': links.StoreUpdate(
        after=150,
        as_of=151,
        changes=(
            links.StoreChange(
                key='text-52',
                revision=153,
                content=b'bytes-54',
                lease=155,
                is_removed=True,
            ),
        ),
        era=156,
    ),
    'links.CompressedUpdate': links.CompressedUpdate(content=b'bytes-157'),
    'residency.AdmissionRequest': residency.AdmissionRequest(
        request_id='text-56',
        worker='text-57',
        model='text-58',
        adapter='text-59',
        workspace='text-60',
        prompt_tokens=161,
        output_tokens=162,
        priority=163,
        objective=64.5,
        max_wait=65.5,
        deadline=66.5,
        reroute_wait=67.5,
        parts=(
            (
                'text-68',
                169,
            ),
        ),
        limits=(
            target_limits.LimitReport(
                target='text-70', incarnation=71, limit=72.5, age=73.5
            ),
        ),
        event_gap=74.5,
        brittle=(
            target_limits.LimitReport(
                target='text-75', incarnation=76, limit=77.5, age=78.5
            ),
        ),
        is_returning=True,
        cold=(
            target_limits.ColdReport(
                target='text-79', incarnation=80, left=81.5
            ),
        ),
    ),
    'residency.AdmissionReply': residency.AdmissionReply(
        request_id='text-70',
        worker='text-71',
        is_granted=True,
        is_waiting=True,
        version=172,
        retry_after=73.5,
        elsewhere=True,
        reason='text-74',
        is_unheld=True,
    ),
    'quarantine.EngineCrash': quarantine.EngineCrash(engine='text-1', age=2.5),
    'quarantine.SuspectPart': quarantine.SuspectPart(
        part='text-1',
        position=2,
        crashes=(quarantine.EngineCrash(engine='text-3', age=4.5),),
        answered_age=5.5,
        is_quarantined=True,
    ),
    'target_limits.LimitReport': target_limits.LimitReport(
        target='text-1', incarnation=2, limit=3.5, age=4.5
    ),
    'target_limits.ColdReport': target_limits.ColdReport(
        target='text-1', incarnation=2, left=3.5
    ),
    'quarantine_records.QuarantineRecord': quarantine_records.QuarantineRecord(
        position=1, crashes=2, last_crash=3.5, trials=4
    ),
    'quarantine_records.RequestRecord': quarantine_records.RequestRecord(
        targets=('text-1',), last_crash=2.5, trials=3, is_quarantined=True
    ),
    'streams.StreamOrigin': streams.StreamOrigin(
        request_id='text-1', service='text-2', build='text-3', attempt=4
    ),
    'streams.OriginNotice': streams.OriginNotice(
        origin=streams.StreamOrigin(
            request_id='text-1', service='text-2', build='text-3', attempt=4
        ),
        has_begun=True,
    ),
    'streams.OriginQuery': streams.OriginQuery(number=1, request_id='text-2'),
    'streams.OriginReply': streams.OriginReply(
        number=5,
        origin=streams.StreamOrigin(
            request_id='text-1', service='text-2', build='text-3', attempt=4
        ),
    ),
    'residency.AdmissionEnd': residency.AdmissionEnd(
        request_id='text-75',
        worker='text-76',
        outcome=residency.GrantOutcome.unused,
        first_event=77.5,
        longest_pause=78.5,
    ),
    'residency.DigestRoom': residency.DigestRoom(
        class_waits_ms=(907,),
        workspace_waits_ms=(('text-908', 909, 910),),
        start_gap_ms=911,
    ),
    'residency.WorkerDigest': residency.WorkerDigest(
        worker='text-77',
        incarnation=178,
        can_order=True,
        running=179,
        queued=180,
        wait=81.5,
        load_wait=82.5,
        has_model=False,
        ready=('text-83',),
        hot=('text-84',),
        room=residency.DigestRoom((901, 902), (('text-903', 904, 905),), 906),
        prefill_rate=705,
        token_us=706,
    ),
    'limits.Announce': limits.Announce(
        seats=(185,), stamp=86.5, is_leaving=True
    ),
    'limits.Ask': limits.RequestLoans(stamp=87.5, digest=188),
    'limits.Loan': limits.Loan(
        number=189,
        term=90.5,
        seats=(191,),
        workspaces=('text-92',),
        tokens=(93.5,),
        in_flight=(94.5,),
    ),
    'limits.Lend': limits.Lend(
        stamp=95.5,
        is_same=True,
        loans=(
            limits.Loan(
                number=196,
                term=97.5,
                seats=(198,),
                workspaces=('text-99',),
                tokens=(100.5,),
                in_flight=(101.5,),
            ),
        ),
    ),
    'limits.Return': limits.Return(
        stamp=102.5,
        loans=(
            limits.Loan(
                number=203,
                term=104.5,
                seats=(205,),
                workspaces=('text-106',),
                tokens=(107.5,),
                in_flight=(108.5,),
            ),
        ),
    ),
    'limits.Recall': limits.Recall(workspaces=('text-109',)),
    'limits.Draw': limits.Draw(
        request_id='text-110',
        workspace='text-111',
        tokens=112.5,
        origin='text-113',
        hops=214,
    ),
    'limits.Grant': limits.Grant(
        request_id='text-115', workspace='text-116', wants_ack=True
    ),
    'limits.Refuse': limits.Refuse(
        request_id='text-117', code=218, retry_after=119.5
    ),
    'limits.Landed': limits.GrantDelivered(
        request_id='text-120', workspace='text-121'
    ),
    'limits.Settle': limits.Settle(
        request_id='text-122', workspace='text-123', used=124.5
    ),
    'limits.Settled': limits.Settled(request_id='text-125'),
    'limits.HandOver': limits.HandOver(
        number=226,
        stamp=127.5,
        seats=(228,),
        loans=(
            limits.Loan(
                number=229,
                term=130.5,
                seats=(231,),
                workspaces=('text-132',),
                tokens=(133.5,),
                in_flight=(134.5,),
            ),
        ),
    ),
    'limits.HandedOver': limits.HandedOver(number=235),
    'limits.Want': limits.RequestSpare(
        request_id='text-136', workspace='text-137', tokens=138.5
    ),
    'limits.Give': limits.GiveSpare(
        request_id='text-139', workspace='text-140', tokens=141.5
    ),
    'limits.Envelope': limits.Envelope(
        incarnation=242,
        message_id=243,
        receiver_incarnation=244,
        messages=(
            limits.Announce(seats=(245,), stamp=146.5, is_leaving=True),
            limits.RequestLoans(stamp=147.5, digest=248),
            limits.Lend(
                stamp=149.5,
                is_same=True,
                loans=(
                    limits.Loan(
                        number=250,
                        term=151.5,
                        seats=(252,),
                        workspaces=('text-153',),
                        tokens=(154.5,),
                        in_flight=(155.5,),
                    ),
                ),
            ),
            limits.Return(
                stamp=156.5,
                loans=(
                    limits.Loan(
                        number=257,
                        term=158.5,
                        seats=(259,),
                        workspaces=('text-160',),
                        tokens=(161.5,),
                        in_flight=(162.5,),
                    ),
                ),
            ),
            limits.Recall(workspaces=('text-163',)),
            limits.Draw(
                request_id='text-164',
                workspace='text-165',
                tokens=166.5,
                origin='text-167',
                hops=268,
            ),
            limits.Grant(
                request_id='text-169', workspace='text-170', wants_ack=True
            ),
            limits.Refuse(request_id='text-171', code=272, retry_after=173.5),
            limits.GrantDelivered(request_id='text-174', workspace='text-175'),
            limits.Settle(
                request_id='text-176', workspace='text-177', used=178.5
            ),
            limits.Settled(request_id='text-179'),
            limits.HandOver(
                number=280,
                stamp=181.5,
                seats=(282,),
                loans=(
                    limits.Loan(
                        number=283,
                        term=184.5,
                        seats=(285,),
                        workspaces=('text-186',),
                        tokens=(187.5,),
                        in_flight=(188.5,),
                    ),
                ),
            ),
            limits.HandedOver(number=289),
            limits.RequestSpare(
                request_id='text-190', workspace='text-191', tokens=192.5
            ),
            limits.GiveSpare(
                request_id='text-193', workspace='text-194', tokens=195.5
            ),
        ),
    ),
    'limits.Delivered': limits.Delivered(
        envelope=limits.Envelope(
            incarnation=296,
            message_id=297,
            receiver_incarnation=298,
            messages=(
                limits.Announce(seats=(299,), stamp=200.5, is_leaving=True),
                limits.RequestLoans(stamp=201.5, digest=302),
                limits.Lend(
                    stamp=203.5,
                    is_same=True,
                    loans=(
                        limits.Loan(
                            number=304,
                            term=205.5,
                            seats=(306,),
                            workspaces=('text-207',),
                            tokens=(208.5,),
                            in_flight=(209.5,),
                        ),
                    ),
                ),
                limits.Return(
                    stamp=210.5,
                    loans=(
                        limits.Loan(
                            number=311,
                            term=212.5,
                            seats=(313,),
                            workspaces=('text-214',),
                            tokens=(215.5,),
                            in_flight=(216.5,),
                        ),
                    ),
                ),
                limits.Recall(workspaces=('text-217',)),
                limits.Draw(
                    request_id='text-218',
                    workspace='text-219',
                    tokens=220.5,
                    origin='text-221',
                    hops=322,
                ),
                limits.Grant(
                    request_id='text-223', workspace='text-224', wants_ack=True
                ),
                limits.Refuse(
                    request_id='text-225', code=326, retry_after=227.5
                ),
                limits.GrantDelivered(
                    request_id='text-228', workspace='text-229'
                ),
                limits.Settle(
                    request_id='text-230', workspace='text-231', used=232.5
                ),
                limits.Settled(request_id='text-233'),
                limits.HandOver(
                    number=334,
                    stamp=235.5,
                    seats=(336,),
                    loans=(
                        limits.Loan(
                            number=337,
                            term=238.5,
                            seats=(339,),
                            workspaces=('text-240',),
                            tokens=(241.5,),
                            in_flight=(242.5,),
                        ),
                    ),
                ),
                limits.HandedOver(number=343),
                limits.RequestSpare(
                    request_id='text-244', workspace='text-245', tokens=246.5
                ),
                limits.GiveSpare(
                    request_id='text-247', workspace='text-248', tokens=249.5
                ),
            ),
        )
    ),
    'membership.MemberRecord': membership.MemberRecord(
        member=members.Member(
            instance='text-250',
            zone='text-251',
            region='text-252',
            address='text-253',
            incarnation=354,
            state=members.MemberState.gone,
        ),
        sequence=355,
        witnesses=('text-256',),
    ),
    'membership.WorkerLoad': membership.WorkerLoad(
        worker='text-257',
        fencing=358,
        sequence=359,
        checksum=360,
        queued=361,
        queued_tokens=262.5,
        running=363,
    ),
    'membership.Heartbeat': membership.Heartbeat(
        sender=membership.MemberRecord(
            member=members.Member(
                instance='text-264',
                zone='text-265',
                region='text-266',
                address='text-267',
                incarnation=368,
                state=members.MemberState.gone,
            ),
            sequence=369,
            witnesses=('text-270',),
        ),
        sent=271.5,
        echo=272.5,
        journal_after=373,
        journal=374,
        acknowledged=375,
        acknowledged_incarnation=376,
        revision=377,
        confirmed_age=278.5,
        records=(
            membership.MemberRecord(
                member=members.Member(
                    instance='text-279',
                    zone='text-280',
                    region='text-281',
                    address='text-282',
                    incarnation=383,
                    state=members.MemberState.gone,
                ),
                sequence=384,
                witnesses=('text-285',),
            ),
        ),
        digests=(
            placement.WorkerDigest(
                worker='text-286',
                zone='text-287',
                steward='text-288',
                steward_address='text-289',
                fencing=390,
                sequence=391,
                slots=392,
                batch_limit=393,
                resident=(
                    placement.AdapterRef(
                        adapter='text-294', version='text-295'
                    ),
                ),
                loading=(
                    placement.AdapterRef(
                        adapter='text-296', version='text-297'
                    ),
                ),
                queued=398,
                queued_tokens=299.5,
                running=400,
                can_load=False,
                silent=True,
                leaving=True,
            ),
        ),
        loads=(
            membership.WorkerLoad(
                worker='text-301',
                fencing=402,
                sequence=403,
                checksum=404,
                queued=405,
                queued_tokens=306.5,
                running=407,
            ),
        ),
    ),
    'members.Member': members.Member(
        instance='text-308',
        zone='text-309',
        region='text-310',
        address='text-311',
        incarnation=412,
        state=members.MemberState.gone,
    ),
    'agent.ViewRequest': agent.ViewRequest(entry='text-313', revision=414),
    'agent.ViewUpdate': agent.ViewUpdate(
        part=configuration.DeltaPart(
            base=415, revision=416, number=417, total=418, content=b'bytes-319'
        ),
        members=(
            members.Member(
                instance='text-320',
                zone='text-321',
                region='text-322',
                address='text-323',
                incarnation=424,
                state=members.MemberState.gone,
            ),
        ),
        digests=(
            placement.WorkerDigest(
                worker='text-325',
                zone='text-326',
                steward='text-327',
                steward_address='text-328',
                fencing=429,
                sequence=430,
                slots=431,
                batch_limit=432,
                resident=(
                    placement.AdapterRef(
                        adapter='text-333', version='text-334'
                    ),
                ),
                loading=(
                    placement.AdapterRef(
                        adapter='text-335', version='text-336'
                    ),
                ),
                queued=437,
                queued_tokens=338.5,
                running=439,
                can_load=False,
                silent=True,
                leaving=True,
            ),
        ),
        stale_seconds=340.5,
    ),
    'agent.TokenRequest': agent.TokenRequest(
        request_id='text-341', workspace='text-342', tokens=343.5
    ),
    'agent.TokenReply': agent.TokenReply(
        request_id='text-344', code=445, detail='text-346', retry_after=347.5
    ),
    'agent.SettleRequest': agent.SettleRequest(
        request_id='text-348', workspace='text-349', reserved=350.5, used=351.5
    ),
    'agent.InstanceStatus': agent.InstanceStatus(
        member=members.Member(
            instance='text-352',
            zone='text-353',
            region='text-354',
            address='text-355',
            incarnation=456,
            state=members.MemberState.gone,
        ),
        revision=457,
        stale_seconds=358.5,
    ),
    'agent.FleetStatus': agent.FleetStatus(
        instances=(
            agent.InstanceStatus(
                member=members.Member(
                    instance='text-359',
                    zone='text-360',
                    region='text-361',
                    address='text-362',
                    incarnation=463,
                    state=members.MemberState.gone,
                ),
                revision=464,
                stale_seconds=365.5,
            ),
        )
    ),
    'agent.LeaveRequest': agent.LeaveRequest(instance='text-366'),
    'agent.LeaveReply': agent.LeaveReply(state='text-367', code=468),
    'configuration.Announcement': configuration.Announcement(
        origin='text-369',
        revision=470,
        delta=objects.Delta(
            base=471,
            revision=472,
            changes=(
                objects.Change(
                    revision=473,
                    kind='workspace',
                    name='text-7000',
                    body=objects.Workspace(
                        name='text-7000',
                        labels={'text-374': 'text-375'},
                        version=476,
                        rate=377.5,
                        burst=378.5,
                        weight=379.5,
                    ),
                ),
            ),
        ),
    ),
    'configuration.AnnounceReply': configuration.AnnounceReply(revision=480),
    'configuration.FetchRequest': configuration.FetchRequest(after=481),
    'configuration.DeltaPart': configuration.DeltaPart(
        base=482, revision=483, number=484, total=485, content=b'bytes-386'
    ),
    'placement.AdapterRef': placement.AdapterRef(
        adapter='text-387', version='text-388'
    ),
    'placement.WorkerDigest': placement.WorkerDigest(
        worker='text-389',
        zone='text-390',
        steward='text-391',
        steward_address='text-392',
        fencing=493,
        sequence=494,
        slots=495,
        batch_limit=496,
        resident=(
            placement.AdapterRef(adapter='text-397', version='text-398'),
        ),
        loading=(placement.AdapterRef(adapter='text-399', version='text-400'),),
        queued=501,
        queued_tokens=402.5,
        running=503,
        can_load=False,
        silent=True,
        leaving=True,
    ),
    'placement.ReserveRequest': placement.ReserveRequest(
        reservation_id='text-404',
        worker='text-405',
        workspace='text-406',
        ref=placement.AdapterRef(adapter='text-407', version='text-408'),
        tokens=409.5,
        weight=410.5,
        priority=placement.Priority.batch,
        wait=411.5,
        prefix=512,
        entry='text-413',
    ),
    'placement.ReserveReply': placement.ReserveReply(
        reservation_id='text-414',
        code=515,
        detail='text-416',
        retry_after=417.5,
        start_within=418.5,
        fencing=519,
        stalled=420.5,
    ),
    'placement.ReleaseRequest': placement.ReleaseRequest(
        reservation_id='text-421', worker='text-422', used=423.5, ok=False
    ),
    'placement.PinReport': placement.PinReport(
        worker='text-424',
        entry='text-425',
        pins=(
            (
                'text-426',
                placement.AdapterRef(adapter='text-427', version='text-428'),
            ),
        ),
        fencing=429,
    ),
    'placement.EngineReport': placement.EngineReport(
        worker='text-429',
        incarnation=530,
        resident=(
            placement.AdapterRef(adapter='text-431', version='text-432'),
        ),
        loading=(placement.AdapterRef(adapter='text-433', version='text-434'),),
        busy=(placement.AdapterRef(adapter='text-435', version='text-436'),),
        running=537,
    ),
    'reports.RequestSample': reports.RequestSample(
        workspace='text-438',
        service='text-439',
        adapter='text-440',
        is_available=False,
        is_refused=True,
        is_wrongly_refused=True,
        first_token=441.5,
        between_tokens=442.5,
        load_stall=443.5,
    ),
    'reports.SampleBatch': reports.SampleBatch(
        samples=(
            reports.RequestSample(
                workspace='text-444',
                service='text-445',
                adapter='text-446',
                is_available=False,
                is_refused=True,
                is_wrongly_refused=True,
                first_token=447.5,
                between_tokens=448.5,
                load_stall=449.5,
            ),
        ),
        dropped=550,
    ),
    'reports.Counts': reports.Counts(total=551, bad=552),
    'reports.Series': reports.Series(
        workspace='text-453',
        service='text-454',
        indicator='text-455',
        windows={'text-456': reports.Counts(total=557, bad=558)},
        history=(reports.Counts(total=559, bad=560),),
        histogram=b'bytes-461',
    ),
    'reports.AdapterBurn': reports.AdapterBurn(
        workspace='text-462',
        adapter='text-463',
        indicator='text-464',
        bad=565,
        overcount=566,
    ),
    'reports.Snapshot': reports.Snapshot(
        remembered={'text-467': 468.5},
        series=(
            reports.Series(
                workspace='text-469',
                service='text-470',
                indicator='text-471',
                windows={'text-472': reports.Counts(total=573, bad=574)},
                history=(reports.Counts(total=575, bad=576),),
                histogram=b'bytes-477',
            ),
        ),
        adapters=(
            reports.AdapterBurn(
                workspace='text-478',
                adapter='text-479',
                indicator='text-480',
                bad=581,
                overcount=582,
            ),
        ),
        dropped=583,
        missing=('text-484',),
    ),
    'engines.LoadOrder': engines.LoadOrder(
        lora_name='text-485', lora_path='text-486', fencing=587
    ),
    'engines.UnloadOrder': engines.UnloadOrder(
        lora_name='text-488', fencing=589
    ),
    'engines.RoleOrder': engines.RoleOrder(role='text-490', fencing=591),
    'engines.EngineReport': engines.EngineReport(
        incarnation=592,
        resident=('text-493',),
        loading=('text-494',),
        busy=('text-495',),
        running=596,
        queued=597,
        kv_use=498.5,
        role='text-499',
        fencing=600,
        steps=601,
        batched=602,
    ),
    'engines.CacheEvent': engines.CacheEvent(
        number=603, kind='text-504', prefix='text-505'
    ),
    'engines.ErrorDetail': engines.ErrorDetail(
        code='text-506', message='text-507', ran=False, retry_after=508.5
    ),
    'engines.ErrorBody': engines.ErrorBody(
        error=engines.ErrorDetail(
            code='text-509', message='text-510', ran=False, retry_after=511.5
        )
    ),
    'engines.AnswerHead': engines.AnswerHead(model='text-512', id='text-513'),
    'peers.Empty': peers.Empty(),
    'view.MemberRecord': view.MemberRecord(
        instance='text-514',
        zone='text-515',
        host='text-516',
        port=617,
        boot='text-518',
        is_leaving=True,
        link_mbps=519.5,
        link_version=620,
        path_port=621,
        is_cut_off=True,
    ),
    'view.HoldEntry': view.OwnershipEntry(
        holder='text-520',
        is_settled=True,
        previous='text-521',
        order_wait=522.5,
        fence=162,
        claimed_token=163,
    ),
    'lease_calls.StewardRecord': lease_client.StewardRecord(
        instance='text-522', incarnation=623, lease='text-624', fencing=625
    ),
    'seats.SeatRecord': seats.SeatRecord(
        owner='text-524', incarnation=625, epoch=626, zone='text-527'
    ),
    'documents.BlobRef': documents.BlobRef(key='text-528', digest='text-529'),
    'documents.Edit': documents.Edit(
        kind='text-530', name='text-531', action='text-532', version=633
    ),
    'documents.Commit': documents.Commit(
        revision=634,
        write_id='text-535',
        author='text-536',
        at=537.5,
        edits=(
            documents.Edit(
                kind='text-538', name='text-539', action='text-540', version=641
            ),
        ),
        unlisted_edits=642,
    ),
    'documents.HistorySegment': documents.HistorySegment(
        blob=documents.BlobRef(key='text-543', digest='text-544'),
        first=645,
        last=646,
        since=547.5,
    ),
    'documents.Manifest': documents.Manifest(
        format=648,
        revision=649,
        folded=650,
        chunks=(documents.BlobRef(key='text-551', digest='text-552'),),
        tail_base=653,
        tail=(
            objects.Change(
                revision=654,
                kind='workspace',
                name='text-7000',
                body=objects.Workspace(
                    name='text-7000',
                    labels={'text-555': 'text-556'},
                    version=657,
                    rate=558.5,
                    burst=559.5,
                    weight=560.5,
                ),
            ),
        ),
        commits=(
            documents.Commit(
                revision=661,
                write_id='text-562',
                author='text-563',
                at=564.5,
                edits=(
                    documents.Edit(
                        kind='text-565',
                        name='text-566',
                        action='text-567',
                        version=668,
                    ),
                ),
                unlisted_edits=669,
            ),
        ),
        segments=(
            documents.HistorySegment(
                blob=documents.BlobRef(key='text-570', digest='text-571'),
                first=672,
                last=673,
                since=574.5,
            ),
        ),
        schema=675,
    ),
    'objects.Workspace': objects.Workspace(
        name='text-576',
        labels={'text-577': 'text-578'},
        version=679,
        rate=580.5,
        burst=581.5,
        weight=582.5,
    ),
    'objects.Key': objects.Key(
        name='text-583',
        labels={'text-584': 'text-585'},
        version=686,
        workspace='text-587',
        digest='text-588',
        withdrawn=True,
    ),
    'objects.Adapter': objects.Adapter(
        name='text-589',
        labels={'text-590': 'text-591'},
        version=692,
        workspace='text-593',
        service='text-594',
        default_version='text-595',
        shared=True,
    ),
    'objects.AdapterVersion': objects.AdapterVersion(
        name='text-596',
        labels={'text-597': 'text-598'},
        version=699,
        weights='text-600',
    ),
    'objects.Service': objects.Service(
        name='text-601',
        labels={'text-602': 'text-603'},
        version=704,
        engine=True,
        base_model='text-605',
        is_open=True,
        repeatable=True,
    ),
    'objects.Target': objects.Target(
        name='text-606',
        labels={'text-607': 'text-608'},
        version=709,
        service='text-610',
        zone='text-611',
        url='text-612',
        slots=713,
        batch_limit=714,
        checks_fencing=True,
        leaving=True,
    ),
    'objects.Split': objects.Split(match='text-615', weight=616.5),
    'objects.Selector': objects.Selector(
        name='text-617',
        labels={'text-618': 'text-619'},
        version=720,
        workspace='text-621',
        match='text-622',
        targets='text-623',
        splits=(objects.Split(match='text-624', weight=625.5),),
        sticky=True,
    ),
    'objects.Settings': objects.Settings(
        name='text-626',
        labels={'text-627': 'text-628'},
        version=729,
        values={'text-630': 631.5},
    ),
    'objects.Change': objects.Change(
        revision=732,
        kind='workspace',
        name='text-7000',
        body=objects.Workspace(
            name='text-7000',
            labels={'text-633': 'text-634'},
            version=735,
            rate=636.5,
            burst=637.5,
            weight=638.5,
        ),
    ),
    'objects.Delta': objects.Delta(
        base=739,
        revision=740,
        changes=(
            objects.Change(
                revision=741,
                kind='workspace',
                name='text-7000',
                body=objects.Workspace(
                    name='text-7000',
                    labels={'text-642': 'text-643'},
                    version=744,
                    rate=645.5,
                    burst=646.5,
                    weight=647.5,
                ),
            ),
        ),
    ),
    'orders.StoredAnswer': orders.StoredResponse(
        status=748, content_type='text-649', body=b'bytes-650', is_cut=True
    ),
    'orders.OrderRecord': orders.IdempotencyRecord(
        claim_id='text-651',
        fingerprint='text-652',
        state=orders.IdempotencyState.unknown,
        until=653.5,
        answer=orders.StoredResponse(
            status=754, content_type='text-655', body=b'bytes-656', is_cut=True
        ),
    ),
    'burn.WindowBurn': burn.WindowBurn(
        name='text-657',
        counts=reports.Counts(total=758, bad=759),
        rate=660.5,
        covered=661.5,
        seconds=762,
    ),
    'burn.ObjectiveBurn': burn.ObjectiveBurn(
        workspace='text-663',
        service='text-664',
        indicator='text-665',
        target=666.5,
        threshold=667.5,
        windows=(
            burn.WindowBurn(
                name='text-668',
                counts=reports.Counts(total=769, bad=770),
                rate=671.5,
                covered=672.5,
                seconds=773,
            ),
        ),
        alerts=('text-674',),
        median=675.5,
        high=676.5,
        history=(677.5,),
    ),
    'burn.BurnReport': burn.BurnReport(
        burns=(
            burn.ObjectiveBurn(
                workspace='text-678',
                service='text-679',
                indicator='text-680',
                target=681.5,
                threshold=682.5,
                windows=(
                    burn.WindowBurn(
                        name='text-683',
                        counts=reports.Counts(total=784, bad=785),
                        rate=686.5,
                        covered=687.5,
                        seconds=788,
                    ),
                ),
                alerts=('text-689',),
                median=690.5,
                high=691.5,
                history=(692.5,),
            ),
        ),
        adapters=(
            reports.AdapterBurn(
                workspace='text-693',
                adapter='text-694',
                indicator='text-695',
                bad=796,
                overcount=797,
            ),
        ),
        instances=798,
        missing=('text-699',),
        oldest=700.5,
        youngest=701.5,
        dropped=802,
    ),
    'instances.InstanceRecord': instances.InstanceRecord(
        instance='text-703',
        zone='text-704',
        region='text-705',
        address='text-706',
        state=instances.InstanceState.leaving,
    ),
    'keyvalue.Entry': keyvalue.Entry(
        key='text-707', value=b'bytes-708', index=809
    ),
    'keyvalue.Listing': keyvalue.Listing(
        entries=(
            keyvalue.Entry(key='text-710', value=b'bytes-711', index=812),
        ),
        index=813,
    ),
    'platform_http.IndexReply': platform_http.IndexReply(index=814),
    'platform_http.LeaseReply': platform_http.LeaseReply(lease='text-715'),
    'standin_records.Record': standin_records.Record(
        event='text-716',
        request_id='text-717',
        adapter='text-718',
        version='text-719',
        workspace='text-720',
        method='text-721',
        path='text-722',
        headers=('text-723',),
        query=('text-724',),
        body='text-725',
        fencing=826,
        detail='text-727',
    ),
    'standin_faults.Faults': standin_faults.Faults(
        delay_seconds=728.5,
        frozen=True,
        down=True,
        lose_answers=829,
        die_after_run=830,
        lag_seconds=731.5,
        fail_loads=832,
        ignore_fencing=True,
        wrong_adapter='text-733',
        garbage=True,
        answer_twice=True,
        evict_running=True,
    ),
}

# Values that the samples above leave out: one flag set at a time where an
# array has several of them, and the value that marks a deleted object.
VARIANTS = {
    'links.Status, asks consent': links.Status(
        instance='text-1', incarnation='text-2', sent_at=3.5, asks_consent=True
    ),
    'links.Status, leaving': links.Status(
        instance='text-1', incarnation='text-2', sent_at=3.5, is_leaving=True
    ),
    'residency.AdmissionReply, granted': residency.AdmissionReply(
        request_id='text-1', is_granted=True, retry_after=2.5
    ),
    'residency.AdmissionReply, waiting': residency.AdmissionReply(
        request_id='text-1', is_waiting=True, retry_after=2.5
    ),
    'residency.AdmissionReply, elsewhere': residency.AdmissionReply(
        request_id='text-1', elsewhere=True, retry_after=2.5
    ),
    'residency.WorkerDigest, cannot order': residency.WorkerDigest(
        worker='text-1', incarnation=2, can_order=False, wait=3.5, load_wait=4.5
    ),
    'view.MemberRecord, without a path port': (
        view.MemberRecord(
            instance='text-514',
            zone='text-515',
            host='text-516',
            port=617,
            boot='text-518',
            is_leaving=True,
            link_mbps=519.5,
            link_version=620,
        )
    ),
    'view.MemberRecord, without a link version': (
        view.MemberRecord(
            instance='text-514',
            zone='text-515',
            host='text-516',
            port=617,
            boot='text-518',
            is_leaving=True,
            link_mbps=519.5,
        )
    ),
    'view.MemberRecord, not cut off': (
        view.MemberRecord(
            instance='text-514',
            zone='text-515',
            host='text-516',
            port=617,
            boot='text-518',
            is_leaving=True,
            link_mbps=519.5,
            link_version=620,
            path_port=621,
        )
    ),
    'placement.PinReport, without a token': placement.PinReport(
        worker='text-424',
        entry='text-425',
        pins=(
            (
                'text-426',
                placement.AdapterRef(adapter='text-427', version='text-428'),
            ),
        ),
    ),
    'lease_calls.StewardRecord, without a lease': lease_client.StewardRecord(
        instance='text-522', incarnation=623
    ),
    'view.HoldEntry, released': view.OwnershipEntry(
        holder='', previous='text-521'
    ),
    'view.HoldEntry, without a token': view.OwnershipEntry(
        holder='text-520',
        is_settled=True,
        previous='text-521',
        order_wait=522.5,
        fence=162,
    ),
    'view.HoldEntry, without a wait': view.OwnershipEntry(
        holder='text-520', is_settled=True, previous='text-521'
    ),
    'streams.OriginReply, without an origin': streams.OriginReply(number=5),
    'objects.Change, deleted': objects.Change(
        revision=1, kind='adapter-version', name='text-2'
    ),
}
