import type { InstanceId, ServiceName, WorkspaceName } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import { WorkspaceUseGossip } from '../../src/upstreams/workspaceUseGossip.js';

const service = 'minutes-llm' as ServiceName;
const workspace = 'utility' as WorkspaceName;
const instance = 'entry-1' as InstanceId;

describe(WorkspaceUseGossip, () => {
  it('counts each token once, even if a report is duplicated or delayed', () => {
    let receivedTokens = 0;
    const sender = new WorkspaceUseGossip(() => undefined);
    const receiver = new WorkspaceUseGossip((_service, _workspace, tokens) => {
      receivedTokens += tokens;
    });
    const messages = [10, 20, 30].map(tokens => {
      sender.add(service, workspace, tokens);
      return sender.createUpdate()!;
    });
    for (const value of [messages[0]!, messages[2]!, messages[1]!, messages[2]!]) {
      receiver.applyUpdate(instance, value);
    }
    expect(receivedTokens).toBe(50);
  });

  it('counts each incarnation of an instance from its own baseline', () => {
    let receivedTokens = 0;
    const receiver = new WorkspaceUseGossip((_service, _workspace, tokens) => {
      receivedTokens += tokens;
    });
    for (let incarnation = 0; incarnation < 2; incarnation++) {
      const sender = new WorkspaceUseGossip(() => undefined);
      sender.add(service, workspace, 1);
      receiver.applyUpdate(instance, sender.createUpdate()!);
      sender.add(service, workspace, 5);
      receiver.applyUpdate(instance, sender.createUpdate()!);
    }
    expect(receivedTokens).toBe(10);
  });

  it('reports nothing before any tokens were served', () => {
    expect(new WorkspaceUseGossip(() => undefined).createUpdate()).toBeUndefined();
  });
});
