import type { KeyHash, Result, ZincringError } from '@zincring/core';
import type { Configuration, WorkspaceRule } from '@zincring/rules';

import {
  Err,
  hashKey,
  isSameKeyHash,
  Ok,
  ZincringError as ZincringErrorClass,
} from '@zincring/core';

/** Authenticated sender of a request. */
export interface Caller {
  readonly workspace: WorkspaceRule;
  readonly keyHash: KeyHash;
}

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;

/**
 * Finds the workspace of the API key in a request.
 *
 * @param authorization value of the `Authorization` header
 * @example
 * const caller = authenticate(configuration, request.headers.authorization);
 */
export function authenticate(
  configuration: Configuration,
  authorization: string | undefined,
): Result<Caller, ZincringError> {
  if (authorization === undefined) {
    return Err(new ZincringErrorClass('key-missing'));
  }
  const token = BEARER_PATTERN.exec(authorization)?.[1];
  if (token === undefined) {
    return Err(new ZincringErrorClass('key-rejected'));
  }
  const keyHash = hashKey(token);
  const rule = configuration.keys.get(keyHash);
  if (rule === undefined || !isSameKeyHash(rule.hash, keyHash)) {
    return Err(new ZincringErrorClass('key-rejected'));
  }
  const workspace = configuration.workspaces.get(rule.workspace);
  return workspace === undefined
    ? Err(new ZincringErrorClass('key-rejected'))
    : Ok({ keyHash, workspace });
}
