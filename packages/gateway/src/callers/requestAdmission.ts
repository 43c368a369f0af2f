import type { Result } from '@zincring/core';

import { Err, Ok, ZincringError } from '@zincring/core';

import type { ConfigurationFollower } from '../configuration/configurationFollower.js';
import type { AdmittedRequest, Admission } from './admitByConfiguration.js';

import { admitByConfiguration } from './admitByConfiguration.js';

/** A request whose headers have been received. */
export interface ArrivedRequest extends AdmittedRequest {
  /** Why the instance cannot hold the request; `undefined` if it can. */
  readonly refusal: ZincringError | undefined;
}

/** Maximum time that a request waits for a refresh of the configuration, in milliseconds: a few round trips to the store. */
const MAXIMUM_REFRESH_WAIT_MILLISECONDS = 150;
/** Retry-After of an instance without a current configuration, in seconds: short, since another instance may have one. */
const STALE_CONFIGURATION_RETRY_SECONDS = 0.03;

/**
 * Admits requests by the configuration in force, as long as this is known to be current.
 *
 * @example
 * const admission = await new RequestAdmission(follower).admit(incoming);
 */
export class RequestAdmission {
  public constructor(private readonly configuration: ConfigurationFollower) {}

  /** Finds the route, the service and the workspace of a request, or why it is refused. */
  public async admit(incoming: ArrivedRequest): Promise<Result<Admission, ZincringError>> {
    const { configuration } = this;
    if (incoming.refusal !== undefined) {
      return Err(incoming.refusal);
    }
    const isFresh = configuration.isFresh() || (await this.refreshConfiguration());
    const index = configuration.current;
    if (index === undefined) {
      return Err(
        new ZincringError('instance-not-ready', {
          retryAfterSeconds: STALE_CONFIGURATION_RETRY_SECONDS,
        }),
      );
    }
    const admitted = admitByConfiguration(index, incoming, configuration.workspaceHistory);
    if (isFresh || (admitted.ok && admitted.val.route.isOpen && configuration.isUsable())) {
      return admitted;
    }
    return Err(
      new ZincringError('instance-not-ready', {
        detail: 'the configuration is not known to be current',
        retryAfterSeconds: STALE_CONFIGURATION_RETRY_SECONDS,
      }),
    );
  }

  /** Admits a request again once its body has arrived, unless nothing can have changed since it was admitted. */
  public async confirm(
    incoming: ArrivedRequest,
    admission: Admission,
  ): Promise<Result<Admission, ZincringError>> {
    const { configuration } = this;
    const isCurrent =
      configuration.isFresh() || (admission.route.isOpen && configuration.isUsable());
    return isCurrent && admission.index === configuration.current
      ? Ok(admission)
      : await this.admit(incoming);
  }

  private async refreshConfiguration(): Promise<boolean> {
    return await this.configuration.refresh(MAXIMUM_REFRESH_WAIT_MILLISECONDS);
  }
}
