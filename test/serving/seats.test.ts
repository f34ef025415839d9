import * as chai from "chai";
import * as net from "node:net";
import * as clock from "../../src/host/clock.js";
import * as record from "../../src/host/record.js";
import * as catalog from "../../src/serving/catalog.js";
import * as desk from "../../src/serving/desk.js";
import * as keeper from "../../src/serving/keeper.js";
import * as link from "../../src/serving/link.js";
import * as fakes from "./fake-engine.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const SLOTS = 2;

/** What ends the sites of the test at hand, also when it fails. */
const ends: (() => void)[] = [];

/** A keeper over a fake engine, with its door open, and one entry daemon's link to it. */
async function site() {
  const engine = new fakes.FakeEngine();
  const spec: catalog.EngineSpec = {
    seats: 8,
    cacheTokens: 1000,
    memoryMb: 1000,
    slots: SLOTS,
    loadsPerS: 1,
    models: [{ name: "m", sizeMb: 100, loadMs: 50 }],
  };
  const service: catalog.Service = { ...fixtures.SERVICE, engine: spec };
  let at: catalog.Catalog = {
    ...catalog.EMPTY,
    config: { ...fixtures.CONFIG, services: new Map([[service.name, service]]) },
  };
  const kept = new keeper.Keeper({
    clock: clock.system,
    log: record.silent,
    engine,
    catalog: () => at,
    service: service.name,
    modelTurn: () => Promise.resolve(true),
  });
  const port = await freePort();
  const address = `127.0.0.1:${port}`;
  const open = () => desk.open(address, { clock: clock.system, log: record.silent, keeper: kept });
  let door = await open();
  const lost: string[] = [];
  const made = new link.Link(address, {
    clock: clock.system,
    log: record.silent,
    host: "entry",
    lost: (id) => lost.push(id),
  });
  void kept.run();
  ends.push(() => {
    made.close();
    door.close();
    kept.stop();
  });
  await until(() => made.state?.instance === engine.instance);
  return {
    engine,
    link: made,
    lost,
    declare: (adapter: string, version: number) => {
      at = catalog.step(at, { kind: "version", key: `m/${adapter}`, version });
      engine.newest = version;
      kept.heard();
    },
    closeDoor: () => {
      door.close();
    },
    openDoor: async () => {
      door = await open();
    },
  };
}

async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function until(what: () => boolean): Promise<void> {
  for (let i = 0; i < 400; i++) {
    if (what()) return;
    await clock.sleep(clock.system, 10);
  }
  throw new Error("it did not come about within 4 s");
}

function wish(adapter: string, leftMs = 3000): link.Wish {
  return {
    request: adapter,
    model: "m",
    adapter,
    version: 0,
    promptTokens: 100,
    answerTokens: 10,
    rank: 1,
    targetMs: 1000,
    leftMs,
  };
}

describe("seats", () => {
  afterEach(() => {
    for (const end of ends.splice(0)) end();
  });

  it("are given once the adapter is loaded", async () => {
    const s = await site();
    const seat = s.link.ask(wish("a"));
    expect(await seat.answer).deep.equal({ kind: "grant", instance: "i1", version: 1 });
    expect(s.engine.held.get("a")?.ready).equal(true);
  });

  it("wait for a slot that another adapter uses, and never overfill the engine", async () => {
    const s = await site();
    const first = ["a", "b"].map((name) => s.link.ask(wish(name)));
    await Promise.all(first.map((f) => f.answer));
    const third = s.link.ask(wish("c"));
    await clock.sleep(clock.system, 60);
    first[0]?.over("whole");
    expect((await third.answer).kind).equal("grant");
    expect([...s.engine.held.keys()]).deep.equal(["b", "c"]);
    expect(s.engine.most).most(SLOTS);
  });

  it("are given though answers to orders are lost", async () => {
    const s = await site();
    s.engine.mood = "answer lost";
    expect((await s.link.ask(wish("a")).answer).kind).equal("grant");
    expect(s.engine.orders).deep.equal(["load a"]);
  });

  it("do not overfill the engine when orders are carried out late", async () => {
    const s = await site();
    s.engine.mood = "late";
    const asked = ["a", "b", "c"].map((name) => s.link.ask(wish(name, 400)));
    await clock.sleep(clock.system, 40);
    s.engine.mood = "well";
    for (const a of asked) {
      await a.answer;
      a.over("whole");
    }
    await clock.sleep(clock.system, 150);
    expect(s.engine.most).most(SLOTS);
  });

  it("are denied once they are of no use", async () => {
    const s = await site();
    const held = ["a", "b"].map((name) => s.link.ask(wish(name)));
    await Promise.all(held.map((h) => h.answer));
    expect(await s.link.ask(wish("c", 80)).answer).deep.equal({ kind: "deny", reason: "full" });
  });

  it("are given on the new version after it was declared", async () => {
    const s = await site();
    const old = s.link.ask(wish("a"));
    await old.answer;
    old.over("whole");
    s.declare("a", 2);
    await until(() => s.engine.held.get("a")?.version === 2);
    expect(await s.link.ask(wish("a")).answer).include({ kind: "grant", version: 2 });
  });

  it("tell the endpoint daemon of a version that it has not heard of", async () => {
    const s = await site();
    const old = s.link.ask(wish("a"));
    await old.answer;
    old.over("whole");
    s.engine.newest = 2;
    const newer = s.link.ask({ ...wish("a"), version: 2 });
    await newer.answer;
    newer.over("whole");
    await until(() => s.engine.held.get("a")?.version === 2);
  });

  it("tell of an engine that is gone, and go on with the next", async () => {
    const s = await site();
    const before = s.link.ask(wish("a"));
    await before.answer;
    s.engine.mood = "out";
    s.engine.restart();
    await until(() => s.lost.includes("i1"));
    s.engine.mood = "well";
    await until(() => s.link.state?.instance === "i1+");
    expect(await s.link.ask(wish("a")).answer).include({ kind: "grant", instance: "i1+" });
  });

  it("find out that an engine restarted between two looks", async () => {
    const s = await site();
    const a = s.link.ask(wish("a"));
    await a.answer;
    a.over("whole");
    s.engine.restart();
    await until(() => s.link.state?.instance === "i1+");
    expect(await s.link.ask(wish("a")).answer).include({ instance: "i1+" });
  });

  it("are out of reach while the endpoint daemon is away, and come back with it", async () => {
    const s = await site();
    s.closeDoor();
    await until(() => s.link.state === undefined);
    expect(await s.link.ask(wish("a")).answer).deep.equal({ kind: "unreachable" });
    await s.openDoor();
    await until(() => s.link.state !== undefined);
    expect((await s.link.ask(wish("a")).answer).kind).equal("grant");
  });

  it("are let go with the connection of the entry daemon", async () => {
    const s = await site();
    await Promise.all(["a", "b"].map((name) => s.link.ask(wish(name)).answer));
    s.closeDoor();
    await until(() => s.link.state === undefined);
    await s.openDoor();
    await until(() => s.link.state !== undefined);
    expect((await s.link.ask(wish("c")).answer).kind).equal("grant");
  });

  it("end the connection of a peer that sends rubbish", async () => {
    const s = await site();
    const socket = net.connect(Number(s.link.address.split(":")[1]), "127.0.0.1");
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write("rubbish\n");
    await closed;
    expect((await s.link.ask(wish("a")).answer).kind).equal("grant");
  });
});
