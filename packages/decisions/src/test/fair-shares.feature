Feature: fair shares of an engine that is short
  The load of a busy day at one engine: 16 organisations, of which two send 60 in 100 of the requests, prompts of 250 to 3,000
  tokens. A first event is in time after 800 ms, and callers give up after 3 s. The max-min share of an organisation is what it
  would receive if all were served in turn, each until it has what it asks for.

  Scenario: one organisation sends six times its usual
    Guards against callers of 15 organisations who are refused because of the requests and repeats of one other.
    Then with a flood by the largest organisation every organisation receives 0.85 of its max-min share, and without shares one receives under 0.2
    And every request of the organisations within their shares is answered within 1500 ms

  Scenario: all organisations together ask for too much
    Guards against small organisations that receive less than their share because large ones always have an older request.
    Then at 1.3 times what the engine reads every organisation receives 0.7 of its max-min share, and without shares one receives under 0.4

  Scenario: the choice between methods
    Then over floods and overload shares by recent service are within 0.1 of start-time fair queueing and no worse than deficit round robin

  Scenario: shares that each engine counts alone
    Guards against an organisation that takes its share anew at each engine.
    Then with a flood over 6 engines every organisation receives 0.85 of its max-min share of all engines

  Scenario: an engine that changes hands while it is short
    Guards against requests that are refused because the new holder does not know what organisations were served.
    Then with a ledger that is lost every 2 s every organisation receives 0.8 of its max-min share

  Scenario: urgent requests without end
    Guards against less urgent requests that are never served while urgent ones overload an engine.
    Then while urgent requests ask for twice what the engine reads, less urgent ones receive 8 to 12 in 100 of the prompt tokens
    And less urgent requests are not served more often than urgent ones, also when they are few

  Scenario: one organisation has the first priority
    Guards against an organisation that keeps an engine for itself because all its requests are urgent.
    Then an urgent organisation that floods the engine receives 45 to 65 in 100 of the prompt tokens

  Scenario: nothing to share
    Then with one organisation, with none, or with room to spare, requests are admitted as they were without shares

  Scenario: a request that waited because of shares
    Then it is reported with its organisation, its wait from its first request on, and the number of requests that went first
