from bilberry_balance.ownership import Ownership, OwnershipStatus

WALL = 1_700_000_000_000


def key_owned_by(before, members_before, after, members_after):
    for number in range(10_000):
        key = f"key-{number}"
        old, new = Ownership("x"), Ownership("x")
        old.on_epoch(1, members_before, (), 0, WALL)
        new.on_epoch(1, members_after, (), 0, WALL)
        if old.owner(key) == before and new.owner(key) == after:
            return key
    raise AssertionError(f"no key moves from {before} to {after}")


def test_nodes_of_different_epochs_never_own_a_key_at_once():
    key = key_owned_by("n1", ("n1", "n2"), "n2", ("n2",))
    former_owner, new_owner = Ownership("n1"), Ownership("n2")
    for node in (former_owner, new_owner):
        node.on_epoch(1, ("n1", "n2"), (), 0, WALL)
        node.on_confirmed(1, 10_000)
    new_owner.on_epoch(2, ("n2",), ("n1", "n2"), 10_001, WALL)
    both = []
    for now_ms in range(10_000, 30_000, 10):
        new_owner.on_confirmed(2, now_ms)
        statuses = [n.check_ownership(key, now_ms) for n in (former_owner, new_owner)]
        both.append(statuses == [OwnershipStatus.OWNER, OwnershipStatus.OWNER])
    assert not any(both)
    assert new_owner.check_ownership(key, 30_000) is OwnershipStatus.OWNER
    assert former_owner.check_ownership(key, 30_000) is OwnershipStatus.UNCONFIRMED


def test_a_skipped_epoch_counts_as_a_takeover():
    node = Ownership("n1")
    node.on_epoch(1, ("n1",), (), 0, WALL)
    node.on_epoch(3, ("n1",), ("n1",), 50_000, WALL + 50_000)
    assert node.key_history("key").known_from_wall_ms > WALL + 50_000


def test_a_kept_key_needs_no_settling():
    node = Ownership("n1")
    node.on_epoch(1, ("n1", "n2"), (), 0, WALL)
    node.on_epoch(2, ("n1", "n3"), ("n1", "n2"), 50_000, WALL + 50_000)
    node.on_confirmed(2, 50_000)
    key = key_owned_by("n1", ("n1", "n2"), "n1", ("n1", "n3"))
    assert node.check_ownership(key, 50_001) is OwnershipStatus.OWNER


def test_a_complete_table_handed_over_ends_the_settling():
    node = Ownership("n2")
    node.on_epoch(1, ("n1", "n2"), (), 0, WALL)
    node.on_epoch(2, ("n2",), ("n1", "n2"), 50_000, WALL + 50_000)
    node.on_confirmed(2, 50_000)
    key = key_owned_by("n1", ("n1", "n2"), "n2", ("n2",))
    assert node.check_ownership(key, 50_001) is OwnershipStatus.SETTLING
    assert node.on_handover("n1", 2, WALL)
    assert node.check_ownership(key, 50_001) is OwnershipStatus.OWNER
    assert node.key_history(key).known_from_wall_ms == WALL


def test_the_first_epoch_of_all_needs_no_wait():
    node = Ownership("n1")
    node.on_epoch(1, ("n1",), (), 0, WALL)
    node.on_confirmed(1, 0)
    assert node.check_ownership("key", 1) is OwnershipStatus.OWNER
    assert node.key_history("key").known_from_wall_ms == 0


def test_all_other_members_confirm_an_epoch_without_the_store():
    node = Ownership("n1")
    node.on_epoch(1, ("n1", "n2", "n3"), (), 0, WALL)
    key = key_owned_by("n1", ("n1", "n2", "n3"), "n1", ("n1",))
    node.on_confirmed(1, 5_000)
    node.on_peer_epoch("n2", 1, 10_000, 10_010, WALL)
    assert node.check_ownership(key, 10_011) is OwnershipStatus.UNCONFIRMED
    node.on_peer_epoch("n3", 1, 10_005, 10_010, WALL)
    assert node.check_ownership(key, 10_011) is OwnershipStatus.OWNER
    assert node.check_ownership(key, 13_000) is OwnershipStatus.UNCONFIRMED


def test_a_new_member_waits_until_it_hears_from_a_former_one():
    node = Ownership("n3")
    node.on_epoch(2, ("n1", "n3"), ("n1", "n2"), 0, WALL)
    key = key_owned_by("n2", ("n1", "n2"), "n3", ("n1", "n3"))
    node.on_confirmed(2, 50_000)
    assert node.check_ownership(key, 50_001) is OwnershipStatus.SETTLING
    node.on_peer_epoch("n1", 2, 50_000, 50_001, WALL)
    node.on_confirmed(2, 54_000)
    assert node.check_ownership(key, 53_000) is OwnershipStatus.SETTLING
    assert node.check_ownership(key, 54_000) is OwnershipStatus.OWNER


def test_peers_alone_confirm_for_an_hour_only():
    node = Ownership("n1")
    node.on_epoch(1, ("n1", "n2"), (), 0, WALL)
    node.on_confirmed(1, 5_000)
    key = key_owned_by("n1", ("n1", "n2"), "n1", ("n1",))
    node.on_peer_epoch("n2", 1, 3_600_000, 3_600_010, WALL)
    assert node.check_ownership(key, 3_600_020) is OwnershipStatus.OWNER
    node.on_peer_epoch("n2", 1, 3_606_000, 3_606_010, WALL)
    assert node.check_ownership(key, 3_606_020) is OwnershipStatus.UNCONFIRMED


def test_a_fleet_replaced_as_a_whole_owns_its_keys_again():
    node = Ownership("n1-again")
    node.on_epoch(2, ("n1-again",), ("n1", "n2"), 10_000, WALL + 10_000)
    node.on_confirmed(2, 10_000)
    node.on_member_ended("n1", 10_000, WALL + 10_000)
    assert node.check_ownership("key", 10_100) is OwnershipStatus.SETTLING
    node.on_member_ended("n2", 10_100, WALL + 10_100)
    assert node.check_ownership("key", 10_200) is OwnershipStatus.OWNER
    assert node.key_history("key").known_from_wall_ms == WALL + 10_100


def test_a_new_member_that_hears_nobody_owns_its_keys_in_the_end():
    node = Ownership("n3")
    node.on_epoch(2, ("n3",), ("n1",), 0, WALL)
    for now_ms, ownership_status in (
        (3_600_000, OwnershipStatus.SETTLING),
        (3_610_000, OwnershipStatus.OWNER),
    ):
        node.on_confirmed(2, now_ms)
        assert node.check_ownership("key", now_ms) is ownership_status
