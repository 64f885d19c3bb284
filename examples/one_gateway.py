"""One request through a gateway: counted, sent and answered, without sockets or the simulator."""

from starlinggap import Gateway, interface


def run() -> list[str]:
    """Returns the steps that the request took, a line each."""
    settings = interface.Settings(
        classes=(interface.RequestClass(aim=0.8, deadline=2.0),),
        plans=(interface.Plan(rate=2.0, burst=8.0),),
        use_counter=True,
    )
    gateway = Gateway(settings, seed=7)
    steps = []
    gateway.handle(
        0.0,
        [
            interface.ServerList(
                interface.ListKind.COMPLETE, (interface.ServerEntry(1, interface.Health.READY),)
            )
        ],
    )
    actions = gateway.handle(
        0.1, [interface.Request(request=1, cls=0, plan=0, account=42, budget=2.0, units=3.0)]
    )
    totals: dict[int, float] = {}  # stands in for the shared counter
    while counts := [action for action in actions if isinstance(action, interface.Count)]:
        answers: list[interface.Event] = []
        for count in counts:
            totals[count.name] = totals.get(count.name, 0.0) + count.amount
            steps.append(f"count {count.amount:g}")
            answers.append(interface.CountOutcome(count.name, 0.002, interface.End.OK, totals[count.name]))
        actions = gateway.handle(0.102, answers)
    send = next(action for action in actions if isinstance(action, interface.Send))
    steps.append(f"send to {send.server}")
    gateway.handle(0.2, [interface.Outcome(1, 0, send.server, interface.End.OK, 0.098, final=True)])
    steps.append("answered")
    return steps


if __name__ == "__main__":
    print("\n".join(run()))
