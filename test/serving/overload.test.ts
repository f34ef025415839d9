import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as blockedLoop from "./blocked-loop.js";

const { expect } = chai;

type Site = Awaited<ReturnType<typeof blockedLoop.open>>;

/** Milliseconds after which all that was sent has been read and served. */
const SETTLE_MS = 150;
/** Milliseconds for which the event loop is blocked. */
const BLOCK_MS = 350;

const stays = (name: string, path = `/c/${name}`): blockedLoop.Act => ({
  name,
  text: blockedLoop.get(path),
  leaves: false,
});
const leaves = (name: string): blockedLoop.Act => ({ ...stays(name), leaves: true });

describe("an entry host whose event loop is behind", () => {
  let site: Site | undefined;

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  /** A site that serves one request already, and has the idle connections `kept`. */
  async function busySite(kept: readonly string[] = []): Promise<Site> {
    site = await blockedLoop.open();
    site.act([stays("held"), ...kept.map((name) => stays(name, "/c/before"))]);
    await timers.setTimeout(SETTLE_MS);
    return site;
  }

  /*
   * Guards against sending a request before the end of its caller's connection is read. Both wait in the kernel while the
   * event loop is blocked, and the end is read one turn of the event loop after the request.
   */
  it("sends no request whose caller has left", async () => {
    const { arrivals, actBlocked } = await busySite(["kept1", "kept2"]);
    const before = arrivals.length;
    actBlocked(["kept1", "kept2", "new1", "new2", "new3"].map(leaves), BLOCK_MS);
    await timers.setTimeout(SETTLE_MS);
    expect(arrivals.slice(before).map((a) => a.path)).deep.equal([]);
  });
});
