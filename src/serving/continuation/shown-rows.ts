/**
 * What a catalog shows of the routes of resumable streams, their services, and the software versions there. Pure.
 * @module
 */
import * as catalog from "../catalog.js";
import * as register from "./register.js";

/** The entries of the register that a catalog calls for. */
export function of(at: catalog.Catalog): register.Register {
  const routes = at.config?.routes.filter((r) => r.kind === "stream" && r.resumable) ?? [];
  const services = routes.flatMap((r) =>
    r.shares.map((s): register.Row => ({ kind: "service", of: r.name, name: s.service })),
  );
  const software = [...new Set(services.map((row) => row.name))].flatMap((name) => {
    const service = at.config?.services.get(name);
    const list = service ? catalog.endpointsOf(at, service) : [];
    return list.map((e): register.Row => ({
      kind: "software",
      of: name,
      name: catalog.softwareOf(e),
    }));
  });
  return register.withRows([...services, ...software], undefined);
}
