Feature: messages between entries

  Scenario: a large configuration over a slow link
    Symptom: some entries refuse requests on a newly added route for up to 14 s.
    Events: a configuration of 1,825 routes is written; three entries request it from one that watches the store, over its link of 7 Mbit/s.
    Cause: none received the whole answer within its time limit, and each asked the next entry from the start.
    When 3 entries ask one entry for changes, over its link of 7 Mbit/s, and a configuration of 1825 routes is among them
    Then each receives the configuration

  Scenario: an entry that does not accept compressed answers
    Guards against entries of two versions failing to read each other's answers during a rolling upgrade.
    When an entry of a version that knows no compression asks for a large state
    Then it receives the answer uncompressed

  Scenario: an entry of a version that does not know a message
    Guards against counting a message as delivered although the receiving entry answered that it does not know its path.
    When a notice of an upstream is sent to an entry that knows none of the paths
    Then the notice counts as not delivered

  Scenario: entries whose leases have lapsed in an outage of the store
    Guards against each entry taking the whole of the shared retry budget for itself until it learns of the others again.
    When 22 entries that know each other each list only themselves for 1500 ms
    Then their retries keep within a slack of 50 in every 10 s

  Scenario: entries that have left
    When 22 entries that know each other each list only themselves for 6000 ms
    Then each counts only itself

  Scenario: calls of an entry that has stopped
    Guards against a stopped entry calling a port that another process may have taken by then.
    When an entry that has stopped requests another entry's state
    Then the other entry gets no call
