import * as chai from "chai";
import * as time from "../../../bench/measure/time.js";
import * as peerVersions from "../../../src/serving/configuration/peer-versions.js";

const { expect } = chai;

describe("a configuration that the store may have lost", () => {
  it("is not taken for the newest one before a peer was heard, or for a second", () => {
    const clk = new time.Time();
    const peers = new peerVersions.PeerVersions(clk);
    expect(peers.isNewest(4)).equal(false);
    peers.configured();
    clk.runNow(peerVersions.FIRST_WORD_MS - 1);
    expect(peers.isNewest(4)).equal(false);
    peers.announced(4);
    expect(peers.isNewest(4)).equal(true);
    const alone = new peerVersions.PeerVersions(clk);
    alone.configured();
    clk.after(peerVersions.FIRST_WORD_MS, () => undefined);
    clk.runNow(2 * peerVersions.FIRST_WORD_MS);
    expect(alone.isNewest(4)).equal(true);
  });

  it("is not taken for the newest one while any peer has a newer one", () => {
    const peers = new peerVersions.PeerVersions(new time.Time());
    peers.configured();
    for (const version of [9, 4]) peers.announced(version);
    expect([4, 8, 9, 10].map((own) => peers.isNewest(own))).deep.equal([false, false, true, true]);
  });
});
