"""One request through a gateway: counted, sent and answered, without a bench."""

from starlinggap import Gateway
from starlinggap import interface as i


def run() -> list[str]:
    settings = i.Settings(
        classes=(i.RequestClass(aim=0.8, deadline=2.0),),
        plans=(i.Plan(rate=2.0, burst=8.0),),
        use_counter=True,
    )
    gateway = Gateway(settings, seed=7)
    story = []
    gateway.handle(0.0, [i.ServerList(i.ListKind.COMPLETE, (i.ServerEntry(1, i.Health.READY),))])
    actions = gateway.handle(0.1, [i.Request(request=1, cls=0, plan=0, account=42, budget=2.0, units=3.0)])
    totals: dict[int, float] = {}  # stands for the counter service
    while counts := [a for a in actions if isinstance(a, i.Count)]:
        answers: list[i.Event] = []
        for count in counts:
            totals[count.name] = totals.get(count.name, 0.0) + count.amount
            story.append(f"count {count.amount:g}")
            answers.append(i.CountOutcome(count.name, 0.002, i.End.OK, totals[count.name]))
        actions = gateway.handle(0.102, answers)
    send = next(a for a in actions if isinstance(a, i.Send))
    story.append(f"send to {send.server}")
    gateway.handle(0.2, [i.Outcome(1, 0, send.server, i.End.OK, 0.098, final=True)])
    story.append("answered")
    return story


if __name__ == "__main__":
    print("\n".join(run()))
