import * as chai from "chai";
import * as fc from "fast-check";
import * as seatless from "../../../src/serving/overload/seatless.js";

const { expect } = chai;

describe("requests without seats", () => {
  it("from all hosts together fit into an engine's connections", () => {
    const sizes = [fc.integer({ min: 400, max: 2000 }), fc.integer({ min: 1, max: 400 })] as const;
    fc.assert(
      fc.property(...sizes, (connections, hosts) => {
        const each = seatless.maxInFlight(connections, hosts);
        expect(each).least(1);
        expect(each * hosts).most(connections);
      }),
    );
  });
});
