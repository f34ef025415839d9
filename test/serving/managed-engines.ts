/**
 * Engine managers on fake engines, each with its server for entry daemons and a link to it.
 * @module
 */
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as originKeeper from "../../src/serving/continuation/origin-keeper.js";
import * as limiterOwner from "../../src/serving/limiter-owner.js";
import * as incarnation from "../../src/serving/incarnation.js";
import * as noticeRelay from "../../src/serving/notice-relay.js";
import * as catalog from "../../src/serving/catalog.js";
import * as seatServer from "../../src/serving/seat-server.js";
import * as engineManager from "../../src/serving/engine-manager.js";
import type * as link from "../../src/serving/link.js";
import * as suspicionRelay from "../../src/serving/suspicion-relay.js";
import type * as position from "../../src/store/position.js";
import * as ports from "../../bench/platform/ports.js";
import * as fakes from "./fake-engine.js";
import * as fixtures from "./fixtures.js";
import * as links from "./links.js";

/** Cleanup functions of the current test. */
const cleanups: (() => void)[] = [];

/** Stops everything that {@link start} started; must be called after each test, also after a failed one. */
export function endAll(): void {
  for (const cleanUp of cleanups.splice(0)) cleanUp();
}

/** A configuration whose only service has engines with `slots` slots each. */
export function configOf(slots: number): catalog.Config {
  const engine: catalog.EngineSpec = {
    slots,
    loadsPerS: 1,
    models: [{ name: "m", sizeMb: 100, loadMs: 50 }],
  };
  const service: catalog.Service = { ...fixtures.SERVICE, engine };
  return { ...fixtures.CONFIG, services: new Map([[service.name, service]]) };
}

/** A catalog with the given endpoints, whose engines have one slot each, and their service. */
export function catalogOf(list: readonly catalog.Endpoint[]): {
  readonly at: catalog.Catalog;
  readonly service: catalog.Service;
} {
  const config = configOf(1);
  const service = config.services.get(fixtures.SERVICE.name) ?? fixtures.SERVICE;
  const endpoints = new Map(list.map((e) => [incarnation.workerOf(e.id), e]));
  return { at: { ...catalog.EMPTY, config, endpoints }, service };
}

/** Starts an engine manager on a fake engine, with its server and one entry daemon's link to it. */
export async function start(instance = "i1", slots = 2, config: catalog.Config = configOf(slots)) {
  const engine = new fakes.FakeEngine();
  engine.instance = instance;
  let turns = 0;
  let at: catalog.Catalog = { ...catalog.EMPTY, config };
  const notices = new noticeRelay.NoticeRelay(clock.system, () => {
    manager.noticesChanged();
  });
  const manager: engineManager.EngineManager = new engineManager.EngineManager({
    clock: clock.system,
    log: structuredLog.silent,
    engine,
    catalog: () => at,
    service: fixtures.SERVICE.name,
    versionMs: 5000,
    modelTurn: () => {
      turns++;
      return Promise.resolve(true);
    },
    notices,
  });
  const port = await ports.findFree();
  const address = `127.0.0.1:${port}`;
  const suspicions = new suspicionRelay.SuspicionRelay({
    clock: clock.system,
    log: structuredLog.silent,
  });
  const parts = {
    log: structuredLog.silent,
    engineManager: manager,
    relay: suspicions,
    limiter: new limiterOwner.LimiterOwner({ clock: clock.system, log: structuredLog.silent }),
    notices,
    origins: new originKeeper.OriginKeeper(clock.system),
  };
  const open = () => seatServer.listen(address, parts);
  let server = await open();
  const { made, lost, told } = links.open(address);
  void manager.run();
  cleanups.push(() => {
    made.close();
    server.close();
    manager.stop();
  });
  await eventually(() => made.state?.instance === engine.instance);
  return {
    engine,
    address,
    notices,
    engineManager: manager,
    link: made,
    lost,
    told,
    turns: () => turns,
    declare: (adapter: string, version: number) => {
      at = catalog.applyUpdate(at, { kind: "version", key: `m/${adapter}`, version });
      engine.newestVersion = version;
      manager.catalogChanged();
    },
    moveTo: (newPosition: position.Position) => {
      at = { ...at, position: newPosition };
    },
    closeDoor: () => {
      server.close();
    },
    openDoor: async () => {
      server = await open();
    },
  };
}

/** Waits until a condition holds; fails after 4 s. */
export async function eventually(what: () => boolean): Promise<void> {
  for (let i = 0; i < 400; i++) {
    if (what()) return;
    await clock.sleep(clock.system, 10);
  }
  throw new Error("it did not come about within 4 s");
}

/** What an entry daemon asks for a seat on `adapter` with. */
export function seatRequest(adapter: string, leftMs = 3000): link.SeatRequest {
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
    firm: true,
  };
}
