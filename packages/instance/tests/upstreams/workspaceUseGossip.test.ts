import type { InstanceId, ServiceName, WorkspaceName } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import { WorkspaceUseGossip } from '../../src/upstreams/workspaceUseGossip.js';

const service = 'minutes-llm' as ServiceName;
const workspace = 'utility' as WorkspaceName;
const instance = 'entry-1' as InstanceId;

describe(WorkspaceUseGossip, () => {
  it('counts each token once, whether told once, twice or late', () => {
    let heard = 0;
    const teller = new WorkspaceUseGossip(() => undefined);
    const listener = new WorkspaceUseGossip((_service, _workspace, tokens) => {
      heard += tokens;
    });
    const told = [10, 20, 30].map(tokens => {
      teller.add(service, workspace, tokens);
      return teller.tell()!;
    });
    for (const value of [told[0]!, told[2]!, told[1]!, told[2]!]) {
      listener.hear(instance, value);
    }
    expect(heard).toBe(50);
  });

  it('counts a new run of an instance from its own start', () => {
    let heard = 0;
    const listener = new WorkspaceUseGossip((_service, _workspace, tokens) => {
      heard += tokens;
    });
    for (let run = 0; run < 2; run++) {
      const teller = new WorkspaceUseGossip(() => undefined);
      teller.add(service, workspace, 1);
      listener.hear(instance, teller.tell()!);
      teller.add(service, workspace, 5);
      listener.hear(instance, teller.tell()!);
    }
    expect(heard).toBe(10);
  });

  it('tells nothing before anything was served', () => {
    expect(new WorkspaceUseGossip(() => undefined).tell()).toBeUndefined();
  });
});
