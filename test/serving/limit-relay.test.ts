import * as chai from "chai";
import type * as announcer from "../../src/serving/announcer.js";
import * as limitRelay from "../../src/serving/limit-relay.js";
import type * as messages from "../../src/serving/limiter-messages.js";
import * as time from "../../bench/measure/time.js";

const { expect } = chai;

/** An entry daemon that writes down what it is told. */
function entry(host: string) {
  const told: messages.Limit[] = [];
  const client: announcer.Client = {
    host,
    send: (m) => {
      if (m.kind === "limit") told.push(m);
    },
    sendLine: () => undefined,
  };
  return { client, told };
}

const said = (version: number, perS?: number): messages.Limit => ({
  kind: "limit",
  worker: "w1",
  version,
  ...(perS !== undefined && { perS }),
});

function open() {
  const relay = new limitRelay.LimitRelay(new time.Time());
  const [a, b] = [entry("a"), entry("b")];
  relay.join(a.client);
  relay.join(b.client);
  return { relay, a, b };
}

describe("news of workers' limits", () => {
  it("goes to all others once, and to those that come later", () => {
    const { relay, a, b } = open();
    relay.hear(a.client, said(1, 1.4));
    relay.hear(b.client, said(1, 1.4));
    expect([a.told, b.told]).deep.equal([[], [said(1, 1.4)]]);
    const late = entry("c");
    relay.join(late.client);
    expect(late.told).deep.equal([said(1, 1.4)]);
  });

  it("tells who knows an older limit of the newer one", () => {
    const { relay, a, b } = open();
    relay.hear(a.client, said(3));
    relay.hear(b.client, said(1, 2));
    expect(b.told).deep.equal([said(3), said(3)]);
    expect(a.told).deep.equal([]);
  });

  it("goes to nobody who has left", () => {
    const { relay, a, b } = open();
    relay.leave(b.client);
    relay.hear(a.client, said(1, 1));
    expect(b.told).deep.equal([]);
  });

  it("is kept of a bounded number of workers, of which those that changed last stay", () => {
    const { relay, a } = open();
    for (let n = 0; n < 5000; n++) {
      relay.hear(a.client, { ...said(1, 1), worker: `w${n}` });
    }
    const late = entry("c");
    relay.join(late.client);
    expect(late.told.length).below(5000);
    expect(late.told.at(-1)?.worker).equal("w4999");
  });
});
