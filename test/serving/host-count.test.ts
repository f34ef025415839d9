import * as chai from "chai";
import * as catalog from "../../src/serving/catalog.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as managedEngines from "./managed-engines.js";
import * as fixtures from "./fixtures.js";
import * as fakeEndpointDaemon from "./fake-endpoint-daemon.js";

const { expect } = chai;

/** Number of entry daemons of the site, and of those left once most are lost. */
const MANY = 29;
const FEW = 3;

describe("the number of hosts that share a total", () => {
  it("is unknown until an endpoint daemon reports it, and does not drop when hosts or that daemon are lost", async () => {
    const counting = (entries: number) => ({ ...fakeEndpointDaemon.state("e0"), entries });
    const daemon = await fakeEndpointDaemon.open(counting(MANY), fakeEndpointDaemon.holdings());
    const e = fixtures.endpoint("e0", "127.0.0.1:1");
    const at: catalog.Catalog = {
      ...catalog.EMPTY,
      config: fixtures.CONFIG,
      endpoints: new Map([[e.id, e]]),
    };
    const { known, close } = dispatcherFixture.create(at, () => daemon.address);
    try {
      expect(known.mostHosts()).equal(undefined);
      const link = known.link(e);
      await managedEngines.eventually(() => link.isHeard);
      expect(known.mostHosts()).equal(MANY);
      daemon.tell(counting(FEW));
      await managedEngines.eventually(() => link.state?.entries === FEW);
      expect(known.mostHosts()).equal(MANY);
      daemon.close();
      await managedEngines.eventually(() => !link.isConnected);
      expect(known.mostHosts()).equal(MANY);
    } finally {
      close();
      daemon.close();
    }
  });
});
