Feature: requests that wait before they are relayed
  Guards against callers whose connections are reset when their entry stops while it still decides whether to let them in, or where their stream began.

  Scenario Outline: a request that waits for <what> when its entry stops
    Guards against a request that runs although its caller was told that it did not.
    Given a request that waits for <what>
    When its entry stops, and the wait ends afterwards
    Then the request is refused as not run, with 0.02 s to retry
    And it is not relayed, and its usage is returned

    Examples:
      | what          |
      | usage         |
      | configuration |
      | origin        |

  Scenario Outline: a request whose wait for <what> ends by an error
    Guards against a caller that gets neither an answer nor a refusal.
    Given a request that waits for <what>
    When the wait ends by an error
    Then the request is refused as "<answer>"

    Examples:
      | what          | answer          |
      | usage         | usage-unknown   |
      | configuration | config-unproven |
