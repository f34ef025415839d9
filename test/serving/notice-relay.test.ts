import * as chai from "chai";
import type * as announcer from "../../src/serving/announcer.js";
import type * as messages from "../../src/serving/notice-messages.js";
import * as noticeRelay from "../../src/serving/notice-relay.js";
import * as time from "../../bench/measure/time.js";

const { expect } = chai;

/** An entry daemon that records the messages it is sent. */
function entry(host: string) {
  const told: messages.Notice[] = [];
  const client: announcer.Client = {
    host,
    send: (m) => {
      if (m.kind === "notice") told.push(m);
    },
    sendLine: () => undefined,
  };
  return { client, told };
}

const said = (version: number, perS?: number): messages.Notice => ({
  kind: "notice",
  worker: "w1",
  limit: { version, ...(perS !== undefined && { perS }) },
  leaving: false,
});

function open() {
  const relay = new noticeRelay.NoticeRelay(new time.Time(), () => undefined);
  const [a, b] = [entry("a"), entry("b")];
  relay.join(a.client);
  relay.join(b.client);
  return { relay, a, b };
}

describe("a relay of worker notices", () => {
  it("sends news to all other daemons once, and later to those that connect", () => {
    const { relay, a, b } = open();
    relay.receive(a.client, said(1, 1.4));
    relay.receive(b.client, said(1, 1.4));
    expect([a.told, b.told]).deep.equal([[], [said(1, 1.4)]]);
    const late = entry("c");
    relay.join(late.client);
    expect(late.told).deep.equal([said(1, 1.4)]);
  });

  it("replies with the newer limit to a daemon that reports an older one", () => {
    const { relay, a, b } = open();
    relay.receive(a.client, said(3));
    relay.receive(b.client, said(1, 2));
    expect(b.told).deep.equal([said(3), said(3)]);
    expect(a.told).deep.equal([]);
  });

  it("merges a worker's limit from one host and its leaving from another", () => {
    const { relay, a, b } = open();
    relay.receive(a.client, said(1, 1.4));
    relay.receive(b.client, { kind: "notice", worker: "w1", leaving: true });
    const both = { ...said(1, 1.4), leaving: true };
    expect([a.told, b.told]).deep.equal([[both], [said(1, 1.4), both]]);
    expect(relay.isLeaving("w1")).equal(true);
    relay.receive(a.client, said(2));
    expect(b.told.at(-1)).deep.equal({ ...said(2), leaving: true });
  });

  it("sends nothing to a disconnected daemon", () => {
    const { relay, a, b } = open();
    relay.leave(b.client);
    relay.receive(a.client, said(1, 1));
    expect(b.told).deep.equal([]);
  });

  it("keeps a bounded number of workers, those that changed last", () => {
    const { relay, a } = open();
    for (let n = 0; n < 5000; n++) {
      relay.receive(a.client, { ...said(1, 1), worker: `w${n}` });
    }
    const late = entry("c");
    relay.join(late.client);
    expect(late.told.length).below(5000);
    expect(late.told.at(-1)?.worker).equal("w4999");
  });
});
