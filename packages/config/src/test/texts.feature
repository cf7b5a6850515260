Feature: an invalid text is rejected completely, and every mistake in it is reported

  Scenario Outline: an invalid configuration
    Given the configuration text:
      """
      [services.chat]
      kind = "model"
      <service>
      [services.booking]
      kind = "plain"
      depends_on = ["chat"]
      [upstreams.m0]
      service = "chat"
      <upstream>
      """
    Then the problems are '<problems>'

    Examples:
      | service                    | upstream     | problems                                                                                                                                                        |
      | depends_on = ["bookin"]    |              | 3: services.chat.depends_on: refers to "bookin", but no service of that name is defined. Did you mean "booking"?                                              |
      | depends_on = ["booking"]   |              | 3: services.chat.depends_on: is a cycle: chat -> booking -> chat. Remove one of these dependencies.                                                              |
      | clas = "draft"             | slotz = 3    | 3: services.chat.clas: "clas" is not a known key. Did you mean "class"? / 9: upstreams.m0.slotz: "slotz" is not a known key. Did you mean "slots"?               |
      | class = "urgent"           | slots = 0    | 3: services.chat.class: Invalid option: expected one of "receipt"\|"booking"\|"interactive"\|"draft" / 9: upstreams.m0.slots: Too small: expected number to be >=1 |
      | deadline_ms = = 3          |              | 3: (text): Invalid TOML document: invalid value. Correct the TOML here.                                                      |

  Scenario: a dependency inherits the most urgent class of its dependants
    Given the configuration text:
      """
      [services.signup]
      kind = "plain"
      class = "receipt"
      depends_on = ["check"]
      [services.check]
      kind = "model"
      class = "draft"
      depends_on = ["stock"]
      [services.stock]
      kind = "plain"
      """
    Then service "stock" has class "receipt"
    And service "check" has class "receipt"

  Scenario: all mistakes in invalid settings are reported at once
    Given the settings text:
      """
      role = "sidecar"
      name = "s"
      zone = "z"
      kv_url = "not a url"
      upstream = "m0"
      upstream_kind = "modle"
      upstream_url = "http://127.0.0.1:1"
      operator = { token = "short" }
      """
    Then the settings have 3 problems, at lines "4, 6, 8"

  Scenario: the reference page
    Then docs/SETTINGS.md matches the schemas
