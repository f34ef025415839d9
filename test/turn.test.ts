import * as chai from "chai";
import * as time from "../bench/measure/time.js";
import * as turnCoordinator from "../src/endpoint/turn-coordinator.js";
import * as log from "../src/host/log.js";
import * as members from "../src/host/members.js";
import type * as control from "../src/link/control.js";
import type * as hosts from "../src/store/hosts.js";

const { expect } = chai;

const member = (name: string): hosts.Member => ({
  name,
  role: "endpoint",
  failureDomain: "a",
  address: "0.0.0.0:0",
  leaving: false,
});

/**
 * The coordinator of `e0` among five endpoints. Those for which `silent` is true do not answer; the names
 * of all endpoints that are asked are added to `asked`.
 */
async function createCoordinator(
  silent: (name: string) => boolean,
  asked: string[],
): Promise<turnCoordinator.TurnCoordinator> {
  const listed = ["e0", "e1", "e2", "e3", "e4"].map(member);
  const mems = new members.Members({ list: () => Promise.resolve(listed) }, log.silent);
  const peer = (m: hosts.Member): control.Peer => {
    const mutate = (): Promise<control.TurnAnswer> => {
      asked.push(m.name);
      return silent(m.name) ? Promise.reject(new Error("silent")) : Promise.resolve({ kind: "go" });
    };
    return { askTurn: { mutate } } as unknown as control.Peer;
  };
  const opts = { parallel: 1, holdMs: 1000, askMinMs: 10, askMaxMs: 100 };
  const coordinator = new turnCoordinator.TurnCoordinator(opts, {
    clock: new time.Time(),
    log: log.silent,
    name: "e0",
    members: mems,
    peer,
  });
  await mems.refresh();
  return coordinator;
}

describe("turn", () => {
  it("is asked of the next keeper at once when one is silent, and not of that one again", async () => {
    const asked: string[] = [];
    const order = members.pickByHash(["e0", "e1", "e2", "e3", "e4"].map(member), "turn", 3);
    const first = order[0]?.name;
    const own = (await createCoordinator((name) => name === first, asked)).client();
    for (let i = 0; i < 3; i++) expect((await own.ask("a@1", 1)).kind).equal("go");
    expect(asked.filter((name) => name === first).length).most(1);
  });

  it("is granted locally when no keeper answers, and silent keepers are not asked again", async () => {
    const asked: string[] = [];
    const own = (await createCoordinator(() => true, asked)).client();
    for (let i = 0; i < 3; i++) expect((await own.ask("a@1", 1)).kind).equal("go");
    expect(asked.length).most(3);
  });
});
