import * as timers from "node:timers/promises";
import * as chai from "chai";
import type * as callerRequest from "../../../src/serving/caller-request.js";
import * as catalog from "../../../src/serving/catalog.js";
import * as streamBounds from "../../../src/serving/answers/stream-bounds.js";
import type * as eventSplitter from "../../../src/serving/answers/event-splitter.js";
import * as dispatcherFixture from "../dispatcher-fixture.js";
import * as endless from "../endless.js";
import * as endlessThread from "../endless-thread.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

const DEADLINE_MS = 3000;
/** Requests to the worker in trouble, and calls beside them, each sent a while after the one before. */
const BAD_REQUESTS = 12;
const BAD_EVERY_MS = 50;
const SOUND_CALLS = 60;
const SOUND_EVERY_MS = 20;
/** Most milliseconds that a call may take beside the streams; a turn of the loop that is flooded takes several hundred. */
const SOUND_P99_MS = 300;
const TOKENS = 80;

const STREAMING = { ...fixtures.ROUTE, name: "streams", prefix: "/s/", kind: "stream" } as const;
const CALLS = { ...fixtures.ROUTE, name: "calls", kind: "idempotent" } as const;
const BAD = { ...fixtures.SERVICE, name: "bad" };

/** A request with a deadline of its own. */
function request(over: Partial<callerRequest.CallerRequest>): callerRequest.CallerRequest {
  const { meta } = fixtures.request();
  return fixtures.request({
    meta: { ...meta, answerTokens: TOKENS },
    dueAt: performance.now() + DEADLINE_MS,
    ...over,
  });
}

/** Sends requests to a worker in trouble, and calls to a sound service beside them. */
async function serveBeside(answer: endless.Answer, route: catalog.Route) {
  const bad = await endlessThread.start(answer);
  const sound = await fixtures.worker((_req, res) => res.writeHead(200, fixtures.good()).end("x"));
  const services = new Map([fixtures.SERVICE, BAD].map((s) => [s.name, s]));
  const badLabels = { "sumacfield/service": BAD.name };
  const badEndpoint = { ...fixtures.endpoint("bad", bad.address), labels: badLabels };
  const service = { ...BAD, endpoints: { matchLabels: badLabels } };
  const current = catalog.applyUpdates(catalog.EMPTY, [
    { kind: "config", config: { ...fixtures.CONFIG, services: services.set(BAD.name, service) } },
    { kind: "endpoint", endpoint: fixtures.endpoint("sound", sound.address) },
    { kind: "endpoint", endpoint: badEndpoint },
  ]).updated;
  const setup = dispatcherFixture.create(current);
  const endings: string[] = [];
  const badMs: number[] = [];
  const soundMs: number[] = [];
  const sendBad = async (): Promise<void> => {
    const { response, seen } = dispatcherFixture.recorded();
    const sentAt = performance.now();
    await setup.dispatcher.serve(request({ service, route }), response);
    badMs.push(performance.now() - sentAt);
    endings.push(seen.at(-1) ?? "");
  };
  const callSound = async (): Promise<void> => {
    const { response, seen } = dispatcherFixture.recorded();
    const sentAt = performance.now();
    await setup.dispatcher.serve(request({}), response);
    if (seen.at(-1) === "answer 200") soundMs.push(performance.now() - sentAt);
  };
  await callSound();
  const all: Promise<void>[] = [];
  const addAll = async (
    count: number,
    everyMs: number,
    send: () => Promise<void>,
  ): Promise<void> => {
    for (let n = 0; n < count; n++) {
      all.push(send());
      await timers.setTimeout(everyMs);
    }
  };
  await Promise.all([
    addAll(BAD_REQUESTS, BAD_EVERY_MS, sendBad),
    addAll(SOUND_CALLS, SOUND_EVERY_MS, callSound),
  ]);
  await Promise.all(all);
  const failures = setup.known.views(service).map((v) => v.failureRate);
  setup.close();
  sound.close();
  await bad.close();
  soundMs.sort((a, b) => a - b);
  const p99Ms = soundMs[Math.floor(0.99 * soundMs.length)] ?? Infinity;
  return { endings, longestMs: Math.max(...badMs), served: soundMs.length - 1, p99Ms, failures };
}

describe("a stream without end", () => {
  for (const [name, answer] of Object.entries(endless.STREAMS)) {
    it(`is broken off as its worker's failure, and others are served, when it repeats ${name}`, async () => {
      const got = await serveBeside(answer, STREAMING);
      expect(new Set(got.endings)).not.include("end");
      expect(got.longestMs).below(DEADLINE_MS / 2);
      expect(Math.min(...got.failures)).above(0.5);
      expect([got.served, got.p99Ms < SOUND_P99_MS]).deep.equal([SOUND_CALLS, true]);
    }).timeout(20_000);
  }
});

describe("a call's answer without end", () => {
  for (const [name, answer] of Object.entries(endless.BODIES)) {
    it(`is not read until the deadline, and others are served, when it repeats ${name}`, async () => {
      const got = await serveBeside(answer, CALLS);
      expect(new Set(got.endings)).not.include("answer 200");
      expect(got.longestMs).below(DEADLINE_MS / 2);
      expect([got.served, got.p99Ms < SOUND_P99_MS]).deep.equal([SOUND_CALLS, true]);
    }).timeout(20_000);
  }
});

describe("the bounds of a stream", () => {
  const event = (bytes: number, isPartial = false): eventSplitter.Event => ({
    bytes: Buffer.alloc(bytes),
    id: undefined,
    isComment: false,
    isPartial,
  });

  it("are not met by a run of any length that comes at once, or by one without a known length at 1,500 events a second", () => {
    for (const tokens of [1, 80, 100_000]) {
      const bounds = new streamBounds.StreamBounds(tokens, 0);
      for (let n = 0; n < tokens; n++)
        expect(bounds.receive(600, [event(600)], 1)).equal(undefined);
    }
    const unknown = new streamBounds.StreamBounds(0, 0);
    for (let n = 0; n < 100_000; n++)
      expect(unknown.receive(600, [event(600)], n / 1.5)).equal(undefined);
  }).timeout(10_000);

  it("are met by an event that is too long, and by more events than tokens, however slowly they come", () => {
    const long = new streamBounds.StreamBounds(TOKENS, 0);
    let pushed = 0;
    while (!long.receive(60_000, [event(60_000, true)], pushed * 1000)) pushed++;
    expect(pushed).equal(Math.floor(8_388_608 / 60_000));
    const many = new streamBounds.StreamBounds(TOKENS, 0);
    let events = 0;
    while (!many.receive(100, [event(100)], events * 10)) events++;
    expect(events).equal(16_384 + 4 * TOKENS);
  });
});
