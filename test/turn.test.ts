import * as chai from "chai";
import * as time from "../bench/measure/time.js";
import * as turn from "../src/endpoint/turn.js";
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

/** A desk at `e0` among five endpoints, of which those named are silent; asked notes who was asked. */
async function desk(silent: (name: string) => boolean, asked: string[]): Promise<turn.Desk> {
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
  const made = new turn.Desk(opts, {
    clock: new time.Time(),
    log: log.silent,
    name: "e0",
    members: mems,
    peer,
  });
  await mems.refresh();
  return made;
}

describe("turn", () => {
  it("is asked of the next keeper at once when one is silent, and not of that one again", async () => {
    const asked: string[] = [];
    const order = members.first(["e0", "e1", "e2", "e3", "e4"].map(member), "turn", 3);
    const first = order[0]?.name;
    const own = (await desk((name) => name === first, asked)).own();
    for (let i = 0; i < 3; i++) expect((await own.ask("a@1", 1)).kind).equal("go");
    expect(asked.filter((name) => name === first).length).most(1);
  });

  it("is taken without asking when every keeper is silent", async () => {
    const asked: string[] = [];
    const own = (await desk(() => true, asked)).own();
    for (let i = 0; i < 3; i++) expect((await own.ask("a@1", 1)).kind).equal("go");
    expect(asked.length).most(3);
  });
});
