from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_balance.admission import (
    AdmissionQueue,
    Admit,
    Admitted,
    QueuePriority,
    Wait,
)
from bilberry_balance.endpoint import AttemptOutcome, EndpointShare, HealthState
from bilberry_balance.pool import Pool

OFFERS = st.tuples(
    st.just("offer"), st.sampled_from(list(QueuePriority)), st.integers(1, 3_000)
)
OTHER_STEPS = st.tuples(
    st.sampled_from(["release", "overload", "cancel", "expire", "resize"]),
    st.just(QueuePriority.NORMAL),
    st.integers(0, 500),
)


class QueueDriver:
    def __init__(self):
        self.queue = AdmissionQueue(
            4, max_length=5, expected_latency_ms=20, min_running=2
        )
        self.running = 0
        self.waiting = set()
        self.now_ms = 0

    def handle_events(self, events):
        for event in events:
            self.waiting.remove(event.ticket)
            self.running += isinstance(event, Admitted)

    def step(self, name, priority, number):
        self.now_ms += number % 40
        if name == "offer":
            deadline_ms = self.now_ms + number
            decision = self.queue.offer(priority, deadline_ms, self.now_ms)
            self.running += isinstance(decision, Admit)
            if isinstance(decision, Wait):
                self.waiting.add(decision.ticket)
            self.handle_events(self.queue.expire(self.now_ms))
        elif name in ("release", "overload") and self.running:
            self.running -= 1
            overloaded = name == "overload"
            self.handle_events(self.queue.release(number, self.now_ms, overloaded))
        elif name == "cancel" and self.waiting:
            assert self.queue.cancel(self.waiting.pop())
        elif name == "expire":
            self.handle_events(self.queue.expire(self.now_ms))
        elif name == "resize":
            max_running = 1 + number % 8
            self.handle_events(self.queue.set_max_running(max_running, self.now_ms))


@settings(max_examples=150)
@given(steps=st.lists(st.one_of(OFFERS, OTHER_STEPS), max_size=120))
def test_every_request_is_admitted_or_ended_once(steps):
    driver = QueueDriver()
    for step in steps:
        driver.step(*step)
        assert driver.queue.running == driver.running
        assert set(driver.queue.waiting_by_ticket) == driver.waiting
        assert len(driver.waiting) <= driver.queue.max_length
        if driver.waiting:
            assert driver.running >= driver.queue.limit.concurrency


OUTCOMES = st.sampled_from(list(AttemptOutcome))


@settings(max_examples=100)
@given(
    outcomes=st.lists(st.tuples(OUTCOMES, st.integers(0, 2_000)), max_size=60),
    policy=st.sampled_from(["soft_quota", "quota", "two_choices", "fastest"]),
)
def test_a_pool_with_a_ready_endpoint_always_serves(outcomes, policy):
    pool = Pool(policy, seed=1)
    pool.update([EndpointShare(f"u{i}", 4, 36, 1, 9) for i in range(4)], 0)
    pool.on_health("u3", HealthState.UNREACHABLE, 0)
    now_ms = 0
    for outcome, delta_ms in outcomes:
        now_ms += delta_ms
        pick = pool.pick(now_ms)
        assert pick is not None
        assert pick.endpoint != "u3"
        pool.on_request_started(pick.endpoint, now_ms)
        pool.on_request_finished(pick.endpoint, delta_ms, outcome, now_ms)
        ejected = [e for e in pool.endpoints.values() if e.ejected_until_ms > now_ms]
        assert len(ejected) <= 1
