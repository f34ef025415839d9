import * as chai from "chai";
import * as net from "node:net";
import * as clock from "../../src/host/clock.js";
import * as eras from "../../src/store/era.js";
import * as position from "../../src/store/position.js";
import * as managedEngines from "./managed-engines.js";

const { expect } = chai;

const SLOTS = 2;

describe("an endpoint daemon", () => {
  afterEach(managedEngines.endAll);

  it("grants a seat once the adapter is loaded", async () => {
    const s = await managedEngines.start();
    const seat = s.link.ask(managedEngines.seatRequest("a"));
    expect(await seat.answer).deep.equal({ kind: "grant", instance: "i1", version: 1 });
    expect(s.engine.held.get("a")?.ready).equal(true);
  });

  it("loads adapters at lower revisions too, once the store has been restored from a backup", async () => {
    const s = await managedEngines.start();
    s.moveTo(position.Position.at(eras.parse("1"), 500));
    expect((await s.link.ask(managedEngines.seatRequest("a")).answer).kind).equal("grant");
    s.moveTo(position.Position.at(eras.parse("2"), 20));
    expect((await s.link.ask(managedEngines.seatRequest("b")).answer).kind).equal("grant");
  });

  it("makes a request wait for a slot that another adapter uses, and never overfills the engine", async () => {
    const s = await managedEngines.start();
    const held = ["a", "b"].map((name) => s.link.ask(managedEngines.seatRequest(name)));
    await Promise.all(held.map((h) => h.answer));
    const third = s.link.ask(managedEngines.seatRequest("c"));
    await clock.sleep(clock.system, 60);
    held[0]?.release("whole");
    expect((await third.answer).kind).equal("grant");
    expect([...s.engine.held.keys()]).deep.equal(["b", "c"]);
    expect(s.engine.peakHeld).most(SLOTS);
  });

  it("grants seats although answers to orders are lost", async () => {
    const s = await managedEngines.start();
    s.engine.behaviour = "answer lost";
    expect((await s.link.ask(managedEngines.seatRequest("a")).answer).kind).equal("grant");
    expect(s.engine.orders).deep.equal(["load a"]);
  });

  it("does not overfill an engine that carries out orders late", async () => {
    const s = await managedEngines.start();
    s.engine.behaviour = "late";
    const asked = ["a", "b", "c"].map((name) => s.link.ask(managedEngines.seatRequest(name, 400)));
    await clock.sleep(clock.system, 40);
    s.engine.behaviour = "well";
    for (const a of asked) {
      await a.answer;
      a.release("whole");
    }
    await clock.sleep(clock.system, 150);
    expect(s.engine.peakHeld).most(SLOTS);
  });

  it("denies a seat once it is of no use", async () => {
    const s = await managedEngines.start();
    const held = ["a", "b"].map((name) => s.link.ask(managedEngines.seatRequest(name)));
    await Promise.all(held.map((h) => h.answer));
    expect(await s.link.ask(managedEngines.seatRequest("c", 80)).answer).deep.equal({
      kind: "deny",
      reason: "full",
    });
  });

  it("grants a seat on the new version after it was declared", async () => {
    const s = await managedEngines.start();
    const old = s.link.ask(managedEngines.seatRequest("a"));
    await old.answer;
    old.release("whole");
    s.declare("a", 2);
    await managedEngines.eventually(() => s.engine.held.get("a")?.version === 2);
    expect(await s.link.ask(managedEngines.seatRequest("a")).answer).include({
      kind: "grant",
      version: 2,
    });
  });

  it("denies a seat at once if the wait would make the request late, unless it is firm", async () => {
    const s = await managedEngines.start("i1", 1);
    const other = s.link.ask(managedEngines.seatRequest("other"));
    await other.answer;
    const asked = { ...managedEngines.seatRequest("a"), targetMs: 320 };
    const from = performance.now();
    expect(await s.link.ask({ ...asked, firm: false }).answer).include({ reason: "busy" });
    expect(performance.now() - from).below(200);
    const firm = s.link.ask({ ...asked, firm: true });
    other.release("whole");
    expect(await firm.answer).include({ kind: "grant" });
  });

  it("never overfills an engine that accepts an unload while it still runs the adapter", async () => {
    const s = await managedEngines.start("i1", 1);
    const other = s.link.ask(managedEngines.seatRequest("other"));
    await other.answer;
    other.release("left");
    s.engine.unloadDelayMs = 150;
    expect(await s.link.ask(managedEngines.seatRequest("a")).answer).include({ kind: "grant" });
    expect(s.engine.peakHeld).equal(1);
  });

  it("limits the rate of orders to an engine that is busy with another order", async () => {
    const s = await managedEngines.start("i1", 1);
    const other = s.link.ask(managedEngines.seatRequest("other"));
    await other.answer;
    other.release("whole");
    s.engine.busyUntil = performance.now() + 400;
    const next = s.link.ask(managedEngines.seatRequest("a"));
    expect(await next.answer).include({ kind: "grant" });
    // At most one refused order per 25 ms, and the accepted ones.
    expect(s.engine.orders.length).below(24);
  });

  it("orders the new version of an outdated adapter once, however long the replacement takes", async () => {
    const s = await managedEngines.start();
    const old = s.link.ask(managedEngines.seatRequest("a"));
    await old.answer;
    old.release("whole");
    s.engine.replaceMs = 300;
    s.declare("a", 2);
    await managedEngines.eventually(() => s.engine.held.get("a")?.version === 2);
    expect(s.engine.orders).deep.equal(["load a", "load a"]);
  });

  it("takes no turn at the weight store for a base model that the engine has locally", async () => {
    const s = await managedEngines.start();
    s.engine.localModels = ["m"];
    s.engine.hasModel = false;
    await managedEngines.eventually(() => s.engine.orders.includes("load "));
    // The fake notes an order before it carries it out. If the model were removed in between, it
    // would come back.
    await managedEngines.eventually(() => s.engine.hasModel);
    expect(s.turns()).equal(0);
    s.engine.localModels = [];
    s.engine.hasModel = false;
    await managedEngines.eventually(() => s.turns() === 1);
  });

  it("learns from a request for a seat of a version that it does not know", async () => {
    const s = await managedEngines.start();
    const old = s.link.ask(managedEngines.seatRequest("a"));
    await old.answer;
    old.release("whole");
    s.engine.newestVersion = 2;
    const newer = s.link.ask({ ...managedEngines.seatRequest("a"), version: 2 });
    await newer.answer;
    newer.release("whole");
    await managedEngines.eventually(() => s.engine.held.get("a")?.version === 2);
  });

  it("announces that the engine is lost, and grants seats on the next incarnation", async () => {
    const s = await managedEngines.start();
    const before = s.link.ask(managedEngines.seatRequest("a"));
    await before.answer;
    s.engine.behaviour = "out";
    s.engine.restart();
    await managedEngines.eventually(() => s.lost.includes("i1"));
    s.engine.behaviour = "well";
    await managedEngines.eventually(() => s.link.state?.instance === "i1+");
    expect(await s.link.ask(managedEngines.seatRequest("a")).answer).include({
      kind: "grant",
      instance: "i1+",
    });
  });

  it("detects that the engine restarted between two polls", async () => {
    const s = await managedEngines.start();
    const a = s.link.ask(managedEngines.seatRequest("a"));
    await a.answer;
    a.release("whole");
    s.engine.restart();
    await managedEngines.eventually(() => s.link.state?.instance === "i1+");
    expect(await s.link.ask(managedEngines.seatRequest("a")).answer).include({ instance: "i1+" });
  });

  it("is unreachable to entry daemons while it is down, and grants seats again when it is back", async () => {
    const s = await managedEngines.start();
    s.closeDoor();
    await managedEngines.eventually(() => s.link.state === undefined);
    expect(await s.link.ask(managedEngines.seatRequest("a")).answer).deep.equal({
      kind: "unreachable",
    });
    await s.openDoor();
    await managedEngines.eventually(() => s.link.state !== undefined);
    expect((await s.link.ask(managedEngines.seatRequest("a")).answer).kind).equal("grant");
  });

  it("ends the seats of an entry daemon whose connection is closed", async () => {
    const s = await managedEngines.start();
    await Promise.all(
      ["a", "b"].map((name) => s.link.ask(managedEngines.seatRequest(name)).answer),
    );
    s.closeDoor();
    await managedEngines.eventually(() => s.link.state === undefined);
    await s.openDoor();
    await managedEngines.eventually(() => s.link.state !== undefined);
    expect((await s.link.ask(managedEngines.seatRequest("c")).answer).kind).equal("grant");
  });

  it("closes the connection of a peer that sends invalid messages", async () => {
    const s = await managedEngines.start();
    const socket = net.connect(Number(s.link.address.split(":")[1]), "127.0.0.1");
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write("rubbish\n");
    await closed;
    expect((await s.link.ask(managedEngines.seatRequest("a")).answer).kind).equal("grant");
  });
});
