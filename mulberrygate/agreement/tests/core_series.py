"""Random series of losses that a core of six control instances has to tolerate."""

from __future__ import annotations

from mulberrygate.agreement.node import AgreementNode
from mulberrygate.agreement.tests.core_cluster import CATCH_UP_S, TOLERANCE, CoreCluster

SHORT_S = (0.05, 0.2, 0.5, 1.0, 2.0)
LOSS_S = (0.3, 1.0, 2.0, 3.0, 3.5, 5.0, 8.0)


class Series:
    """One random series on a `CoreCluster`.

    Attributes
    ==========
    violations : list[str]
        What the group violated, in order.
    """

    def __init__(self, seed: int, node_class: type = AgreementNode):
        self.cluster = CoreCluster(seed, node_class)
        self.rng = self.cluster.rng
        self.violations: list[str] = []

    def run(self, steps: int) -> list[str]:
        """Carry out random faults and then the closing; return the violations."""
        cluster = self.cluster
        cluster.form()
        assert len(cluster.voters()) == 5, "the group did not form"
        for _ in range(steps):
            self.step()
            cluster.run(self.rng.choice((*SHORT_S, 4.5)))
            self.check_calm()
        self.close()
        return self.violations

    def healthy(self) -> list[str]:
        """Return the instances that do not count as lost, in random order."""
        counting = self.cluster.counting()
        names = [name for name in sorted(self.cluster.instances) if name not in counting]
        self.rng.shuffle(names)
        return names

    def room(self) -> int:
        """Return how many further instances may be lost now."""
        return TOLERANCE - len(self.cluster.counting())

    def victims(self, count: int) -> list[str]:
        """Return instances to lose, in some series those that matter most now."""
        names = self.healthy()
        leader = self.cluster.leader()
        aim = self.rng.choice(("any", "leader", "newest", "seeds"))
        if aim == "leader" and leader is not None:
            names.sort(key=lambda name: name != leader.name)
        elif aim == "newest":
            order = self.cluster.holders()
            names.sort(key=order.index)
        elif aim == "seeds":
            names.sort(key=lambda name: name not in self.cluster.seeds)
        return names[:count]

    def step(self) -> None:
        """Carry out one random fault that is within the tolerance."""
        cluster, rng = self.cluster, self.rng
        kind = rng.choice(
            ("commit", "seeds", "transfer", "stop all", "split")
            + 2 * ("stop", "freeze", "cut")
            + 3 * ("empty", "remove")
        )
        if kind == "commit":
            cluster.commit()
        elif kind == "seeds":
            cluster.seeds = rng.sample(sorted(cluster.instances), 3)
        elif kind == "transfer":
            cluster.note("transfer")
            cluster.transfer()
            cluster.disturbed_at = cluster.now
        elif kind == "stop all":
            cluster.stop_all(rng.choice((0.05, 0.5, 1.0)))
        elif kind == "split":
            if not cluster.isolated:
                names = rng.sample(sorted(cluster.instances), rng.randint(1, 3))
                cluster.split(set(names), rng.choice(SHORT_S))
        elif self.room() > 0:
            if rng.random() < 0.5:
                cluster.commit()
            for name in self.victims(rng.randint(1, self.room())):
                self.lose(kind, name)

    def lose(self, kind: str, name: str) -> None:
        """Lose an instance, and schedule its return."""
        cluster, rng = self.cluster, self.rng
        for_s = rng.choice(LOSS_S)
        if kind == "freeze":
            cluster.freeze(name)
            cluster.after(for_s, lambda: cluster.thaw(name))
        elif kind == "cut":
            cluster.cut(name)
            cluster.after(for_s, lambda: cluster.join(name))
        elif kind == "remove":
            cluster.remove(name)
            cluster.after(rng.choice((0.0, *SHORT_S)), lambda: cluster.succeed(name))
        else:
            (cluster.empty if kind == "empty" else cluster.stop)(name)
            cluster.after(for_s, lambda: cluster.start(name))

    def check_calm(self) -> None:
        """Record what a group violates that has been calm for the catch-up time."""
        cluster = self.cluster
        if cluster.counting() or cluster.now < cluster.disturbed_at + CATCH_UP_S:
            return
        self.record(cluster.check_calm_group)

    def record(self, check) -> None:
        """Carry out a check and record its failure."""
        try:
            check()
        except AssertionError as error:
            self.cluster.note(f"VIOLATION {error}")
            self.violations.append(str(error))

    def close(self) -> None:
        """Close the series in one of three ways, and read back."""
        cluster = self.cluster
        way = self.rng.choice(("calm", "none lost", "now"))
        if way != "now":
            while cluster.counting():
                cluster.run(0.05)
        if way == "calm":
            cluster.run(max(0.0, cluster.disturbed_at + CATCH_UP_S + 0.05 - cluster.now))
            self.check_calm()
        cluster.commit()
        cluster.close(self.victims(max(0, self.room())))
        self.record(cluster.check_read_back)
