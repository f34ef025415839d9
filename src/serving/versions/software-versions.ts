/**
 * The software versions of workers on which a request may run, as an entry daemon knows them now. What a choice was made by may
 * no longer hold when the request is written.
 * @module
 */
import type * as callerRequest from "../caller-request.js";
import * as catalog from "../catalog.js";
import type * as origins from "../continuation/origins.js";
import type * as endpointRegistry from "../endpoint-registry.js";
import * as incarnation from "../incarnation.js";
import type * as progress from "../progress.js";

/** What is considered of a request. */
type Request = Pick<callerRequest.CallerRequest, "route" | "service">;
type Progress = Pick<progress.Progress, "origin">;

export class SoftwareVersions {
  constructor(private readonly origins: Pick<origins.Origins, "isOnlyOne" | "mayBegin">) {}

  /** The software versions on which a request may run; undefined if it may run on any. */
  filter(
    { route, service }: Request,
    { origin }: Progress,
  ): endpointRegistry.SoftwareFilter | undefined {
    if (origin) return (software) => software === origin.software;
    if (route.kind !== "stream" || !route.resumable) return undefined;
    return (software) => this.origins.mayBegin({ service: service.name, software });
  }

  /**
   * Whether only the start of a worker that its entry describes can run a request without a seat. A worker that keeps its name
   * may have started again with other software, which matters to a stream that may go on.
   */
  isCertainStart({ route }: Request, e: catalog.Endpoint): boolean {
    if (!route.resumable || incarnation.startOf(e.id) === undefined) return true;
    return this.origins.isOnlyOne(route);
  }

  /** Why a request that was to be sent to an endpoint may not run on its software any more; undefined if it may. */
  refusalReason(
    req: Request,
    p: Progress,
    e: catalog.Endpoint,
    hasSeat: boolean,
  ): string | undefined {
    const software = catalog.softwareOf(e);
    if (this.filter(req, p)?.(software) === false)
      return `the stream may not run on the software version ${software || "(none)"} of ${e.id}`;
    if (req.service.engine && !hasSeat && !this.isCertainStart(req, e))
      return `it is not certain which software version runs at ${e.id}`;
    return undefined;
  }
}
