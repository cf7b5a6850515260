Feature: an adapter that a request uses is not evicted under it

  Scenario: one slot, two adapters
    Symptom: an answer changes its voice in the middle, or fails.
    Events: a second adapter is asked for while the only slot is in use.
    Cause: the slot was given away before the last byte.
    Given a system with 1 slow engine of 1 slot and 4 places
    When a caller begins to read 30 tokens of "a@1"
    And the engine runs 1 request
    And 5 tokens of "b@1" are asked for, streamed
    Then the answer is all 5 tokens of "b@1"
    And the caller that began gets all 30 tokens of "a@1"
    And no adapter was evicted in use

  Scenario: a slot wanted while its request is being cancelled
    Symptom: the engine evicts an adapter in the middle of a decode step.
    Events: a caller leaves; the only slot is wanted by the next request at the same moment.
    Cause: the pin ended with the decision to cancel, not when the engine had stopped.
    Given a system with 1 slow engine of 1 slot and 4 places
    And the engine takes 100 ms to hear of a cancel
    When a caller asks for 200 tokens of "a@1" whole and leaves while 5 tokens of "b@1" are asked for
    Then the answer is all 5 tokens of "b@1"
    And no adapter was evicted in use

  Scenario: an unload whose reply is lost
    Symptom: requests fail on an adapter that the sidecar shows as loaded, or the engine's slots run out.
    Events: the engine unloads, the connection breaks before the reply.
    Cause: a lost reply was taken for a refusal.
    Given a system with 1 engine of 1 slot and 4 places
    When 5 tokens of "a@1" are asked for, streamed
    And the engine loses the reply to its next unload
    And 5 tokens of "b@1" are asked for, streamed
    Then the answer is all 5 tokens of "b@1"
    When 5 tokens of "a@1" are asked for, streamed
    Then the answer is all 5 tokens of "a@1"
    And no adapter was evicted in use

  Scenario: loads that fail
    Symptom: callers wait for an adapter that will not come.
    Events: the weight store fails.
    Cause: those who waited were not told.
    Given a system with 1 engine of 2 slots and 4 places
    And the engine's next 50 loads fail
    When 5 tokens of "a@1" are asked for, streamed
    Then the caller is told "not-run" with status 503 and code "load-failed"
    And the answer came within 3000 ms

  Scenario: one load that fails is made good
    Given a system with 2 engines of 2 slots and 4 places
    And the engine's next 1 loads fail
    When 5 tokens of "a@1" are asked for, streamed
    Then the answer is all 5 tokens of "a@1"
