import * as chai from "chai";
import * as engines from "./engines.js";
import * as links from "./links.js";
import * as telling from "./telling.js";

const { expect } = chai;

/** What ends the parts of the test at hand, also when it fails. */
const ends: (() => void)[] = [];

/** An entry daemon's connection, and the engines that it took for gone. */
async function connected() {
  const daemon = await telling.open(telling.state("i1"), telling.holdings());
  const { made, lost } = links.open(daemon.address);
  ends.push(() => {
    made.close();
    daemon.close();
  });
  await engines.until(() => made.state?.instance === "i1");
  return { daemon, made, lost };
}

describe("an endpoint daemon that starts anew", () => {
  afterEach(() => {
    for (const end of ends.splice(0)) end();
  });

  /*
   * What goes wrong: an endpoint daemon is killed and starts again beside a worker that goes on, and says that it knows no
   * engine yet; while the store is away that lasts. Its engine was taken for gone, and what ran there was broken off.
   */
  it("does not make its engine one that is gone while it does not know it yet", async () => {
    const { daemon, made, lost } = await connected();
    daemon.restart(telling.state(""));
    await engines.until(() => made.state?.instance === "");
    daemon.tell(telling.state("i1"));
    await engines.until(() => made.state?.instance === "i1");
    expect(lost).deep.equal([]);
  });

  it("says that its engine is gone when it finds another one", async () => {
    const { daemon, made, lost } = await connected();
    daemon.restart(telling.state(""));
    await engines.until(() => made.state?.instance === "");
    daemon.tell(telling.state("i2"));
    await engines.until(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });

  it("says so when it does not find it for long", async () => {
    const { daemon, lost } = await connected();
    const talking = setInterval(() => {
      daemon.tell(telling.state(""));
    }, 100);
    ends.push(() => {
      clearInterval(talking);
    });
    daemon.restart(telling.state(""));
    await engines.until(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });

  it("says so at once when it knew it", async () => {
    const { daemon, lost } = await connected();
    daemon.tell(telling.state(""));
    await engines.until(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });
});
